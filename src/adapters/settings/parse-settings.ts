import {Command, Option} from 'commander';
import {err, ok, type Result} from 'neverthrow';
import {pickNearestName} from '../../_lib/pick-nearest-name/index.js';
import {environmentPrefix, toEnvironmentName, toFlag} from './names.js';
import {parseValue, type SettingValue, toExpectation} from './parse-value.js';
import {
	type ParsedSettings, type Setting, type SettingFault, type SettingSource, type SettingTable, type SettingValues,
} from './types.js';

/**
 * Types a table of settings, so that its values are typed after parsing.
 *
 * @param table - Settings by key; the key gives flag and environment name.
 * @returns The table unchanged.
 */
export function defineSettings<const Table extends SettingTable>(table: Table): Table {
	return table;
}

export type ParseSettingsInput<Table extends SettingTable> = {
	/** Arguments after the program's name. */
	argv: readonly string[];
	env: Readonly<Record<string, string | undefined>>;
	/** Tables of the other programs of a host. Their environment variables are not reported as unknown, since a host's programs share one environment. */
	otherTables?: readonly SettingTable[];
	/** Finds faults in combinations of values, for example a certificate without its key. Called when each value alone is valid. */
	check?: (values: SettingValues<Table>) => readonly SettingFault[];
};

/**
 * Reads settings from flags and environment; a flag takes precedence over the environment.
 *
 * @param table - Table of settings, see {@link defineSettings}.
 * @param input - Flags, environment, and a check of combinations.
 * @returns The values with their sources, or all faults at once.
 */
export function parseSettings<Table extends SettingTable>(table: Table, input: ParseSettingsInput<Table>): Result<ParsedSettings<Table>, readonly SettingFault[]> {
	const faults: SettingFault[] = [];
	const flags = readFlags(table, input.argv, faults);
	faults.push(...findUnknownEnvironment(table, input));
	const values: Record<string, SettingValue | undefined> = {};
	const sources: Record<string, SettingSource> = {};
	for (const [key, setting] of Object.entries(table)) {
		const given = pickGiven(key, flags, input.env);
		sources[key] = given?.source ?? (setting.default === undefined ? 'unset' : 'default');
		values[key] = readValue(key, setting, given, faults);
	}

	if (faults.length > 0) {
		return err(faults);
	}

	// The loop above has set every key of the table, which the compiler can't infer.
	const parsed: ParsedSettings<Table> = {values: values as SettingValues<Table>, sources: sources as ParsedSettings<Table>['sources']};
	const together = input.check?.(parsed.values) ?? [];
	return together.length > 0 ? err(together) : ok(parsed);
}

type Given = {place: string; text: string; source: 'flag' | 'environment'};

function pickGiven(key: string, flags: ReadonlyMap<string, string>, env: ParseSettingsInput<SettingTable>['env']): Given | undefined {
	const flagText = flags.get(key);
	if (flagText !== undefined) {
		return {place: toFlag(key), text: flagText, source: 'flag'};
	}

	const envText = env[toEnvironmentName(key)];
	return envText === undefined ? undefined : {place: toEnvironmentName(key), text: envText, source: 'environment'};
}

function readValue(key: string, setting: Setting, given: Given | undefined, faults: SettingFault[]): SettingValue | undefined {
	if (given === undefined) {
		if (setting.required === true) {
			faults.push({place: `${toFlag(key)} (or ${toEnvironmentName(key)})`, message: 'is missing', remedy: `give ${toExpectation(setting)}`});
		}

		return setting.default;
	}

	const value = parseValue(setting, given.text);
	if (value.isErr()) {
		faults.push({place: given.place, ...value.error});
		return undefined;
	}

	return value.value;
}

/**
 * Splits the arguments into flags with commander. Commander's own checks stop at
 * the first fault, so all options are declared as optional and checked here.
 */
function readFlags(table: SettingTable, argv: readonly string[], faults: SettingFault[]): Map<string, string> {
	const command = new Command().exitOverride().helpOption(false);
	const seen = new Map<string, Array<string | true>>();
	for (const key of Object.keys(table)) {
		const option = new Option(`${toFlag(key)} [value]`);
		command.addOption(option);
		command.on(`option:${option.name()}`, (value: string | null) => {
			seen.set(key, [...seen.get(key) ?? [], value ?? true]);
		});
	}

	const {operands, unknown} = command.parseOptions([...argv]);
	faults.push(...findUnknownFlags(table, unknown, operands));
	const flags = new Map<string, string>();
	for (const [key, values] of seen) {
		addFlag({key, setting: table[key]!, values}, flags, faults);
	}

	return flags;
}

function addFlag(given: {key: string; setting: Setting; values: ReadonlyArray<string | true>}, flags: Map<string, string>, faults: SettingFault[]): void {
	const {key, setting, values} = given;
	const value = values[0]!;
	if (setting.secret === true) {
		faults.push({place: toFlag(key), message: 'is a secret, and flags are seen by every user of the machine', remedy: `set ${toEnvironmentName(key)} instead`});
	} else if (values.length > 1) {
		faults.push({place: toFlag(key), message: `is given ${values.length} times`, remedy: 'give it once'});
	} else if (value === true && setting.type !== 'boolean') {
		faults.push({place: toFlag(key), message: 'has no value', remedy: `give ${toExpectation(setting)}`});
	} else {
		flags.set(key, value === true ? 'true' : value);
	}
}

function findUnknownFlags(table: SettingTable, unknown: readonly string[], operands: readonly string[]): SettingFault[] {
	const known = Object.keys(table).map(key => toFlag(key));
	// Commander returns the arguments after an unknown flag together with it; they are the flag's value and not separate faults.
	const flags = unknown.filter(text => text.startsWith('-')).map(text => text.split('=', 1)[0]!);
	return [
		...flags.map(flag => toUnknown(flag, known, 'is no flag of this program')),
		...operands.map(text => ({place: `'${text}'`, message: 'is no flag', remedy: 'write settings as --name value'})),
	];
}

function findUnknownEnvironment<Table extends SettingTable>(table: Table, input: ParseSettingsInput<Table>): SettingFault[] {
	const known = [table, ...input.otherTables ?? []].flatMap(each => Object.keys(each).map(key => toEnvironmentName(key)));
	const unknown = Object.keys(input.env).filter(name => name.startsWith(environmentPrefix) && !known.includes(name));
	return unknown.map(name => toUnknown(name, known, 'is no setting'));
}

function toUnknown(name: string, known: readonly string[], message: string): SettingFault {
	const nearest = pickNearestName(name, known);
	const remedy = nearest === undefined ? '--help lists what there is' : `did you mean ${nearest}?`;
	return {place: name, message, remedy};
}
