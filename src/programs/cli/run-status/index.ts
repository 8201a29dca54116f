/** `banyanport status`: the status documents of hosts. */
import {ok} from 'neverthrow';
import {fetchFromHosts, writeFailures} from '../_lib/fetch-from-hosts.js';
import {
	type CliIo, type CommandResult, exitCodes, type FetchOptions, toJsonText,
} from '../_lib/io.js';
import {toHostTexts} from '../_lib/to-host-texts.js';

/**
 * Shows the status documents of hosts.
 *
 * @param io - Output, and requests to hosts.
 * @param hosts - Addresses of operators' ports.
 * @param options - CA file and timeout; `json` for programs.
 * @returns 0 when all answered, 3 when one did not.
 */
export async function runStatus(io: CliIo, hosts: readonly string[], options: FetchOptions & {json: boolean}): Promise<CommandResult> {
	const {documents, failures} = await fetchFromHosts(io, hosts, '/status', options);
	writeFailures(io, failures);
	io.write(options.json ? toJsonText({hosts: documents, failures}) : toHostTexts(documents));
	return ok(failures.length > 0 ? exitCodes.unreachable : exitCodes.fine);
}
