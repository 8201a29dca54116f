/** `banyanport settings`: every setting with default, unit, value and source. */
import {ok} from 'neverthrow';
import {
	formatSettingFaults, listSettings, parseSettings, type SettingFault, type SettingRow,
} from '../../../adapters/settings/index.js';
import {
	agentSettings, checkAgentSettings, checkEntrySettings, checkRelaySettings, entrySettings, relaySettings,
} from '../../_settings/index.js';
import {
	type CliIo, type CommandResult, exitCodes, toJsonText,
} from '../_lib/io.js';

export type SettingsProgram = 'entry' | 'agent' | 'relay';

/**
 * Lists the settings of a program, with the values that it would start with
 * under the given flags and the current environment.
 *
 * @param io - Output and environment.
 * @param program - Which program.
 * @param options - Flags of the program; `json` for programs.
 * @returns 0, or 1 when flags or environment are wrong; missing settings count as faults only if flags are given.
 */
export async function runSettings(io: CliIo, program: SettingsProgram, options: {flags: readonly string[]; json: boolean}): Promise<CommandResult> {
	const {rows, faults} = listings[program](io, options.flags);
	const shownFaults = options.flags.length > 0 ? faults : [];
	io.write(options.json ? toJsonText({program, settings: rows, faults: shownFaults}) : toText(rows));
	if (shownFaults.length > 0 && !options.json) {
		io.writeError(formatSettingFaults(`banyanport-${program}`, shownFaults));
	}

	return ok(shownFaults.length > 0 ? exitCodes.faults : exitCodes.fine);
}

type Listing = {rows: readonly SettingRow[]; faults: readonly SettingFault[]};

function listEntry({env}: CliIo, argv: readonly string[]): Listing {
	return parseSettings(entrySettings, {
		argv, env, otherTables: [agentSettings], check: checkEntrySettings,
	}).match<Listing>(parsed => ({rows: listSettings(entrySettings, parsed), faults: []}), faults => ({rows: listSettings(entrySettings), faults}));
}

function listAgent({env}: CliIo, argv: readonly string[]): Listing {
	return parseSettings(agentSettings, {
		argv, env, otherTables: [entrySettings], check: checkAgentSettings,
	}).match<Listing>(parsed => ({rows: listSettings(agentSettings, parsed), faults: []}), faults => ({rows: listSettings(agentSettings), faults}));
}

function listRelay({env}: CliIo, argv: readonly string[]): Listing {
	return parseSettings(relaySettings, {
		argv, env, otherTables: [entrySettings, agentSettings], check: checkRelaySettings,
	}).match<Listing>(parsed => ({rows: listSettings(relaySettings, parsed), faults: []}), faults => ({rows: listSettings(relaySettings), faults}));
}

const listings: Readonly<Record<SettingsProgram, (io: CliIo, argv: readonly string[]) => Listing>> = {
	entry: listEntry, agent: listAgent, relay: listRelay,
};

function toText(rows: readonly SettingRow[]): string {
	return rows.map(row => [
		`${row.flag}  (${row.env})`,
		`  ${row.description}`,
		`  takes ${row.takes}; default ${row.default ?? (row.required ? 'none, required' : 'none')}; now ${row.value ?? 'unset'} (${row.source})`,
		'',
	].join('\n')).join('');
}
