/** Fetches the same document from several operators' ports. */
import {type AccessFailure, type CliIo, type FetchOptions} from './io.js';

export type HostDocument = {
	host: string;
	document: unknown;
};

/** Documents of the hosts that answered, and why the others did not. */
export type HostDocuments = {
	documents: readonly HostDocument[];
	failures: readonly AccessFailure[];
};

/**
 * Fetches a document from all hosts concurrently.
 *
 * @param io - Sends the requests.
 * @param hosts - Addresses of operators' ports, `IP:port` or a URL.
 * @param path - Path of the document.
 * @param options - CA file and timeout.
 * @returns Documents and failures, each in the order of the hosts.
 */
export async function fetchFromHosts(io: CliIo, hosts: readonly string[], path: string, options: FetchOptions): Promise<HostDocuments> {
	const results = await Promise.all(hosts.map(async host => ({host, result: await io.fetchJson(host, path, options)})));
	return {
		documents: results.flatMap(({host, result}) => result.isOk() ? [{host, document: result.value}] : []),
		failures: results.flatMap(({result}) => result.isErr() ? [result.error] : []),
	};
}

/**
 * Writes one line for each host whose document could not be fetched.
 *
 * @param io - Output for errors.
 * @param failures - One for each of these hosts.
 */
export function writeFailures(io: CliIo, failures: readonly AccessFailure[]): void {
	for (const {message} of failures) {
		io.writeError(`${message}\n`);
	}
}
