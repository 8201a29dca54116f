/** Prefix of all environment variables that the programs read. */
export const environmentPrefix = 'BANYANPORT_';

/**
 * Returns the flag of a setting.
 *
 * @param key - Key in the table, camel case.
 * @returns For `callerPort`, `--caller-port`.
 */
export function toFlag(key: string): string {
	return `--${toWords(key).join('-')}`;
}

/**
 * Returns the environment variable of a setting.
 *
 * @param key - Key in the table, camel case.
 * @returns For `callerPort`, `BANYANPORT_CALLER_PORT`.
 */
export function toEnvironmentName(key: string): string {
	return environmentPrefix + toWords(key).join('_').toUpperCase();
}

function toWords(key: string): string[] {
	return key.split(/(?=[A-Z])/).map(word => word.toLowerCase());
}
