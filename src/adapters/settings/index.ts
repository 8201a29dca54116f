/**
 * Settings of the programs: a typed table, read from flags and environment,
 * checked at start with all faults reported at once.
 */
export {defineSettings, parseSettings, type ParseSettingsInput} from './parse-settings.js';
export {
	formatSettingFaults, listSettings, loadSettings, settingsExitCode, toSettingsHelp,
	type LoadedSettings, type LoadSettingsInput, type SettingRow,
} from './load-settings.js';
export {
	type ParsedSettings, type Setting, type SettingFault, type SettingSource, type SettingTable, type SettingValues,
} from './types.js';
