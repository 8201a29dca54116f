import {Command, Option} from 'commander';
import {toEnvironmentName, toFlag} from './names.js';
import {parseSettings, type ParseSettingsInput} from './parse-settings.js';
import {formatValue, type SettingValue, toExpectation} from './parse-value.js';
import {
	type ParsedSettings, type Setting, type SettingFault, type SettingSource, type SettingTable,
} from './types.js';

/** Exit code of a program whose settings are invalid. */
export const settingsExitCode = 2;

export type LoadSettingsInput<Table extends SettingTable> = ParseSettingsInput<Table> & {
	/** Name of the program in `--help` and in messages. */
	program: string;
	/** What the program does, for `--help`. */
	description: string;
};

/** What a program should do with its arguments: run, or print a text and end. */
export type LoadedSettings<Table extends SettingTable> = {kind: 'run'; settings: ParsedSettings<Table>}
	| {kind: 'exit'; code: number; stdout: string; stderr: string};

/**
 * Reads a program's settings and answers `--help`, so that a program needs only a few lines for both.
 *
 * @param table - Table of settings.
 * @param input - Flags, environment, and the program's name and description.
 * @returns Settings to run with, or the text and the exit code to end with; never throws for a user's mistake.
 *
 * @example
 * ```ts
 * const loaded = loadSettings(entrySettings, {program: 'banyanport-entry', description: 'Serves callers.', argv: process.argv.slice(2), env: process.env});
 * if (loaded.kind === 'exit') {
 * 	process.stdout.write(loaded.stdout);
 * 	process.stderr.write(loaded.stderr);
 * 	process.exitCode = loaded.code;
 * }
 * ```
 */
export function loadSettings<Table extends SettingTable>(table: Table, input: LoadSettingsInput<Table>): LoadedSettings<Table> {
	if (input.argv.some(text => text === '--help' || text === '-h')) {
		return {
			kind: 'exit', code: 0, stdout: toSettingsHelp(table, input), stderr: '',
		};
	}

	return parseSettings(table, input).match<LoadedSettings<Table>>(
		settings => ({kind: 'run', settings}),
		faults => ({
			kind: 'exit', code: settingsExitCode, stdout: '', stderr: formatSettingFaults(input.program, faults),
		}),
	);
}

/**
 * Builds the `--help` text from the table.
 *
 * @param table - Table of settings.
 * @param about - Name and description of the program.
 * @returns Text that ends with a line break.
 */
export function toSettingsHelp(table: SettingTable, about: {program: string; description: string}): string {
	const command = new Command(about.program).description(about.description).usage('[settings]').helpOption('-h, --help', 'Print this text.');
	for (const [key, setting] of Object.entries(table)) {
		const flags = setting.type === 'boolean' ? toFlag(key) : `${toFlag(key)} <${setting.type}>`;
		const option = new Option(setting.secret === true ? toFlag(key) : flags, toHelpLine(key, setting));
		command.addOption(option.helpGroup(`${setting.group}:`));
	}

	return command.helpInformation() + '\nEach setting can be given by flag or by environment; a flag wins. A duration or a size needs its unit.\n';
}

function toHelpLine(key: string, setting: Setting): string {
	const value = setting.default === undefined ? undefined : `default ${formatValue(setting, setting.default)}`;
	const notes = [setting.required === true ? 'required' : value, `takes ${toExpectation(setting)}`, `env ${toEnvironmentName(key)}${setting.secret === true ? ' only' : ''}`];
	return `${setting.description} (${notes.filter(note => note !== undefined).join('; ')})`;
}

/**
 * Formats faults for people, one per line.
 *
 * @param program - Name of the program.
 * @param faults - The faults.
 * @returns Text that ends with a line break.
 */
export function formatSettingFaults(program: string, faults: readonly SettingFault[]): string {
	const lines = faults.map(fault => `  ${fault.place} ${fault.message}: ${fault.remedy}`);
	return [`${program}: ${faults.length === 1 ? 'one setting is' : `${faults.length} settings are`} wrong`, ...lines, `Run ${program} --help for all settings.`, ''].join('\n');
}

/** One line of the `settings` command. */
export type SettingRow = {
	name: string;
	flag: string;
	env: string;
	type: Setting['type'];
	takes: string;
	default: string | undefined;
	required: boolean;
	secret: boolean;
	description: string;
	/** Value in force, in a readable unit; `***` for a secret that is set. */
	value: string | undefined;
	source: SettingSource;
};

/**
 * Lists every setting with its default, unit, value and source.
 *
 * @param table - Table of settings.
 * @param parsed - Values in force; without them the defaults are listed.
 * @returns One row for each setting, in the order of the table.
 */
export function listSettings<Table extends SettingTable>(table: Table, parsed?: ParsedSettings<Table>): SettingRow[] {
	return Object.entries(table).map(([key, setting]) => {
		const value = parsed === undefined ? setting.default : (parsed.values as Record<string, SettingValue | undefined>)[key];
		return {
			name: key,
			flag: toFlag(key),
			env: toEnvironmentName(key),
			type: setting.type,
			takes: toExpectation(setting),
			default: setting.default === undefined ? undefined : formatValue(setting, setting.default),
			required: setting.required === true,
			secret: setting.secret === true,
			description: setting.description,
			value: value === undefined ? undefined : (setting.secret === true ? '***' : formatValue(setting, value)),
			source: parsed?.sources[key] ?? (setting.default === undefined ? 'unset' : 'default'),
		};
	});
}
