/**
 * Shape of a table of settings. Flag and environment names follow from the key:
 * `callerPort` is `--caller-port` and `BANYANPORT_CALLER_PORT`.
 */

/** Types whose value is a number after parsing. */
export type NumberSettingType = 'integer' | 'number' | 'duration' | 'bytes' | 'port';

/** Types whose value stays a text. `address` is `IP:port`; `file` is a path. */
export type TextSettingType = 'text' | 'ip' | 'address' | 'url' | 'file';

type SettingBase<Value> = {
	/** One sentence for `--help` and the page of operations. */
	description: string;
	/** Heading under which `--help` lists it. */
	group: string;
	/** Value when neither flag nor environment gives one. */
	default?: Value;
	/** Without a value the program does not start. */
	required?: boolean;
	/** Never printed, and taken from the environment alone: flags are seen by every user of the machine. */
	secret?: boolean;
};

export type NumberSetting = SettingBase<number> & {
	type: NumberSettingType;
	/** What the number counts, for types that have no unit of their own. */
	unit?: string;
	min?: number;
	max?: number;
};

export type TextSetting = SettingBase<string> & {
	type: TextSettingType;
	/** What a `text` must match, and how a person would say it. */
	pattern?: {test: RegExp; hint: string};
};

export type BooleanSetting = SettingBase<boolean> & {type: 'boolean'};

export type ChoiceSetting = SettingBase<string> & {
	type: 'choice';
	choices: readonly string[];
};

/** Comma-separated list of `IP:port`. */
export type AddressesSetting = SettingBase<readonly string[]> & {type: 'addresses'};

export type Setting = NumberSetting | TextSetting | BooleanSetting | ChoiceSetting | AddressesSetting;

export type SettingTable = Readonly<Record<string, Setting>>;

type RawValue<S extends Setting> = S extends {type: NumberSettingType} ? number
	: S extends {type: 'boolean'} ? boolean
		: S extends {type: 'choice'; choices: ReadonlyArray<infer Choice>} ? Choice
			: S extends {type: 'addresses'} ? readonly string[]
				: string;

type ValueOf<S extends Setting> = S extends {required: true} | {default: unknown} ? RawValue<S> : RawValue<S> | undefined;

/** Values of a table after parsing. Durations are in milliseconds and sizes in bytes. */
export type SettingValues<Table extends SettingTable> = {-readonly [Key in keyof Table]: ValueOf<Table[Key]>};

/** Where a value came from. `unset` marks an optional setting without a value. */
export type SettingSource = 'flag' | 'environment' | 'default' | 'unset';

export type ParsedSettings<Table extends SettingTable> = {
	values: SettingValues<Table>;
	sources: Readonly<Record<keyof Table, SettingSource>>;
};

/** One thing wrong with the settings: where, what, and what to do. */
export type SettingFault = {
	/** Flag or environment name as the user would write it. */
	place: string;
	message: string;
	remedy: string;
};

