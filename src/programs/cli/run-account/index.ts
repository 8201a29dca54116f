/** `banyanport account`: what became of one request, from the host that served it. */
import {ok} from 'neverthrow';
import {fetchFromHosts, writeFailures} from '../_lib/fetch-from-hosts.js';
import {
	type CliIo, type CommandResult, exitCodes, type FetchOptions, toJsonText,
} from '../_lib/io.js';
import {toHostTexts} from '../_lib/to-host-texts.js';

const notFoundStatus = 404;

/**
 * Looks for the account of a request on all given hosts.
 *
 * @param io - Output, and requests to hosts.
 * @param requestId - The answer's `x-request-id`.
 * @param hosts - Addresses of operators' ports of entries.
 * @param options - CA file and timeout; `json` for programs.
 * @returns 0 when one has it, 1 when none does, 3 when none does and one did not answer.
 */
export async function runAccount(io: CliIo, requestId: string, hosts: readonly string[], options: FetchOptions & {json: boolean}): Promise<CommandResult> {
	const {documents, failures} = await fetchFromHosts(io, hosts, `/explain/${encodeURIComponent(requestId)}`, options);
	const unreachable = failures.filter(({status}) => status !== notFoundStatus);
	writeFailures(io, unreachable);
	if (options.json) {
		io.write(toJsonText({requestId, hosts: documents, failures: unreachable}));
	} else {
		io.write(toHostTexts(documents));
	}

	if (documents.length > 0) {
		return ok(exitCodes.fine);
	}

	if (unreachable.length > 0) {
		return ok(exitCodes.unreachable);
	}

	io.writeError(`none of ${hosts.join(', ')} keeps an account of ${requestId}: name the host that answered; accounts of old requests are dropped\n`);
	return ok(exitCodes.faults);
}
