/**
 * Types of a table of settings. The key of a setting determines its flag and its
 * environment variable: `callerPort` is `--caller-port` and `BANYANPORT_CALLER_PORT`.
 */

/** Types whose value is a number after parsing. */
export type NumberSettingType = 'integer' | 'number' | 'duration' | 'bytes' | 'port';

/** Types whose value stays a text. `address` is `IP:port`; `file` is a path. */
export type TextSettingType = 'text' | 'ip' | 'address' | 'url' | 'file';

type SettingBase<Value> = {
	/** One sentence for `--help` and the operations page. */
	description: string;
	/** Heading under which `--help` lists it. */
	group: string;
	/** Value when neither flag nor environment sets one. */
	default?: Value;
	/** Whether the program does not start without a value. */
	required?: boolean;
	/** Whether the value is never printed, and only accepted from the environment, because every user of the machine can see flags. */
	secret?: boolean;
};

export type NumberSetting = SettingBase<number> & {
	type: NumberSettingType;
	/** What the number counts, for types without a unit. */
	unit?: string;
	min?: number;
	max?: number;
};

export type TextSetting = SettingBase<string> & {
	type: TextSettingType;
	/** Pattern that a `text` must match, and its description in words. */
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

/** Source of a value. `unset` marks an optional setting without a value. */
export type SettingSource = 'flag' | 'environment' | 'default' | 'unset';

export type ParsedSettings<Table extends SettingTable> = {
	values: SettingValues<Table>;
	sources: Readonly<Record<keyof Table, SettingSource>>;
};

/** A fault of the settings: its place, what is wrong, and the remedy. */
export type SettingFault = {
	/** Flag or environment variable, as written by the user. */
	place: string;
	message: string;
	remedy: string;
};

