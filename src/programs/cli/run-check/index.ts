/** `banyanport check`: everything that is wrong with a document. */
import {ok} from 'neverthrow';
import {
	type CliIo, type CommandResult, exitCodes, toJsonText,
} from '../_lib/io.js';
import {type CheckedConfig, reportReadFailure, readConfig} from '../_lib/read-config.js';

/**
 * Checks a document.
 *
 * @param io - Input and output.
 * @param file - Path of the document, or `-`.
 * @param options - `json` for programs.
 * @returns 0 when it is valid, 1 when it has faults.
 */
export async function runCheck(io: CliIo, file: string, options: {json: boolean}): Promise<CommandResult> {
	const read = await readConfig(io, file);
	if (read.isOk()) {
		io.write(options.json ? toJsonText(toSummary(file, read.value)) : toText(file, read.value));
		return ok(exitCodes.fine);
	}

	return reportReadFailure(io, file, read.error, options.json);
}

function toSummary(file: string, {seal, config, bytes, parts}: CheckedConfig) {
	return {
		file,
		valid: true,
		kind: seal.kind,
		edition: seal.edition,
		bytes,
		parts,
		zones: config.zones.length,
		hosts: config.hosts.length,
		servers: config.servers.length,
		pools: config.pools.length,
		rules: config.rules.length,
		faults: [],
	};
}

function toText(file: string, checked: CheckedConfig): string {
	const {kind, edition, parts, zones, hosts, servers, rules} = toSummary(file, checked);
	const end = [kind, ...(edition > 0 ? [`edition ${edition}`] : []), ...(parts > 0 ? [`${parts} parts`] : [])].join(', ');
	return `${file}: valid (${end}): ${rules} rules, ${servers} servers, ${hosts} hosts, ${zones} zones\n`;
}
