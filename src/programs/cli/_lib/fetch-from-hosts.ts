/** Asks several operators' ports for the same document. */
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
 * Asks all hosts at once.
 *
 * @param io - Reaches the hosts.
 * @param hosts - Addresses of operators' ports, `IP:port` or a URL.
 * @param path - Path of the document.
 * @param options - Keys and patience.
 * @returns What came, in the order of the hosts, and what failed.
 */
export async function fetchFromHosts(io: CliIo, hosts: readonly string[], path: string, options: FetchOptions): Promise<HostDocuments> {
	const results = await Promise.all(hosts.map(async host => ({host, result: await io.fetchJson(host, path, options)})));
	return {
		documents: results.flatMap(({host, result}) => result.isOk() ? [{host, document: result.value}] : []),
		failures: results.flatMap(({result}) => result.isErr() ? [result.error] : []),
	};
}

/**
 * Tells people which hosts did not answer.
 *
 * @param io - Output for errors.
 * @param failures - One for each such host.
 */
export function writeFailures(io: CliIo, failures: readonly AccessFailure[]): void {
	for (const {message} of failures) {
		io.writeError(`${message}\n`);
	}
}
