/** `banyanport slo`: how fast the error budgets are being spent, over one or several hosts. */
import {err, ok} from 'neverthrow';
import {addSloDocuments} from '../../../domain/add-slo-documents/index.js';
import {parseSloDocument} from '../../../domain/parse-slo-document/index.js';
import {toBurnPage} from '../../../domain/to-burn-page/index.js';
import {toBurnRates} from '../../../domain/to-burn-rates/index.js';
import {toBurnTable} from '../../../domain/to-burn-table/index.js';
import {fetchFromHosts, writeFailures, type HostDocument} from '../_lib/fetch-from-hosts.js';
import {
	type AccessFailure, type CliIo, type CommandResult, exitCodes, type FetchOptions, toJsonText,
} from '../_lib/io.js';

export type RunSloOptions = FetchOptions & {
	/** File for the HTML page with plots. */
	html: string | undefined;
	json: boolean;
};

/**
 * Reports the burn rates over all hosts.
 *
 * @param io - Output, and requests to hosts.
 * @param hosts - Addresses of operators' ports of entries.
 * @param options - Form of the report, CA file and timeout.
 * @returns 0 when all hosts answered, 3 when one did not; the documents of the others are reported in any case.
 */
export async function runSlo(io: CliIo, hosts: readonly string[], options: RunSloOptions): Promise<CommandResult> {
	const fetched = await fetchFromHosts(io, hosts, '/slo', options);
	const parsed = fetched.documents.map(document => toSloDocument(document));
	const failures = [...fetched.failures, ...parsed.flatMap(result => result.isErr() ? [result.error] : [])];
	writeFailures(io, failures);
	const document = addSloDocuments(parsed.flatMap(result => result.isOk() ? [result.value] : []));
	if (document.hosts.length === 0) {
		return ok(exitCodes.unreachable);
	}

	const report = toBurnRates(document);
	io.write(options.json ? toJsonText({...report, failures}) : toBurnTable(report));
	if (options.html !== undefined) {
		const written = await io.writeText(options.html, toBurnPage(document, report, {writtenAt: io.wallNow()}));
		if (written.isErr()) {
			return err(written.error);
		}
	}

	return ok(failures.length > 0 ? exitCodes.unreachable : exitCodes.fine);
}

function toSloDocument({host, document}: HostDocument) {
	return parseSloDocument(document).mapErr((problem): AccessFailure => ({message: `${host}: its burn report can't be read (${problem}): use the command of the host's own version`}));
}

