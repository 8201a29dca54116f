import {isIP} from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import {
	bytesPerGibibyte, bytesPerKibibyte, bytesPerMebibyte, msPerDay, msPerHour, msPerMinute, msPerSecond,
} from '../../ports/units.js';
import {
	type AddressesSetting, type ChoiceSetting, type NumberSetting, type Setting, type TextSetting,
} from './types.js';

/** Parsed value of a setting. */
export type SettingValue = string | number | boolean | readonly string[];

/** What is wrong with a value, and what would be valid. */
export type ValueFault = {message: string; remedy: string};

type ValueResult<Value extends SettingValue = SettingValue> = Result<Value, ValueFault>;

const durationUnits: Readonly<Record<string, number>> = {
	ms: 1, s: msPerSecond, m: msPerMinute, min: msPerMinute, h: msPerHour, d: msPerDay,
};
const byteUnits: Readonly<Record<string, number>> = {
	b: 1, kib: bytesPerKibibyte, mib: bytesPerMebibyte, gib: bytesPerGibibyte, kb: 1000, mb: 1_000_000, gb: 1_000_000_000,
};
const maxPort = 65_535;

/**
 * Parses the text of one setting.
 *
 * @param setting - The setting.
 * @param text - Text from flag or environment.
 * @returns The value (durations in milliseconds, sizes in bytes), or its fault.
 */
export function parseValue(setting: Setting, text: string): ValueResult {
	const trimmed = text.trim();
	if (trimmed === '') {
		return err({message: 'is empty', remedy: `give ${toExpectation(setting)}, or leave it out`});
	}

	switch (setting.type) {
		case 'boolean': {
			return parseBoolean(trimmed);
		}

		case 'choice': {
			return parseChoice(setting, trimmed);
		}

		case 'addresses': {
			return parseAddresses(setting, trimmed);
		}

		case 'integer':
		case 'number':
		case 'duration':
		case 'bytes':
		case 'port': {
			return parseNumber(setting, trimmed);
		}

		case 'text':
		case 'ip':
		case 'address':
		case 'url':
		case 'file': {
			return parseText(setting, trimmed);
		}
	}
}

/**
 * Describes the values that a setting accepts, with their bounds.
 *
 * @param setting - The setting.
 * @returns For example `a duration such as 250ms, 2s or 5min, from 1ms to 1min`.
 */
export function toExpectation(setting: Setting): string {
	switch (setting.type) {
		case 'boolean': {
			return 'true or false';
		}

		case 'choice': {
			return `one of ${setting.choices.join(', ')}`;
		}

		case 'addresses': {
			return 'addresses as IP:port, with commas between them';
		}

		case 'duration': {
			return `a duration such as 250ms, 2s or 5min${toBounds(setting)}`;
		}

		case 'bytes': {
			return `a size such as 512KiB, 64MiB or 1GiB${toBounds(setting)}`;
		}

		case 'port': {
			return 'a port from 0 (any free one) to 65535';
		}

		case 'integer': {
			return `a whole number${setting.unit === undefined ? '' : ` of ${setting.unit}`}${toBounds(setting)}`;
		}

		case 'number': {
			return `a number${setting.unit === undefined ? '' : ` of ${setting.unit}`}${toBounds(setting)}`;
		}

		case 'ip': {
			return 'an IP number such as 127.0.0.1';
		}

		case 'address': {
			return 'an address as IP:port, such as 127.0.0.1:7401';
		}

		case 'url': {
			return 'a URL such as http://127.0.0.1:7400';
		}

		case 'file': {
			return 'the path of a file';
		}

		case 'text': {
			return setting.pattern?.hint ?? 'a text';
		}
	}
}

/**
 * Formats a value with a readable unit.
 *
 * @param setting - The setting.
 * @param value - Parsed value or default.
 * @returns For example `2s`, `64MiB`, `127.0.0.1:1,127.0.0.1:2`.
 */
export function formatValue(setting: Setting, value: SettingValue): string {
	if (setting.type === 'duration') {
		return formatUnits(value as number, ['d', 'h', 'min', 's', 'ms'], durationUnits);
	}

	if (setting.type === 'bytes') {
		return formatUnits(value as number, ['GiB', 'MiB', 'KiB', 'B'], byteUnits);
	}

	return String(value);
}

function formatUnits(value: number, names: readonly string[], units: Readonly<Record<string, number>>): string {
	const fitting = names.find(name => value !== 0 && value % units[name.toLowerCase()]! === 0) ?? names.at(-1)!;
	return `${value / units[fitting.toLowerCase()]!}${fitting}`;
}

function toBounds(setting: NumberSetting): string {
	const {min, max} = setting;
	const low = min === undefined ? '' : ` from ${formatValue(setting, min)}`;
	const high = max === undefined ? '' : ` to ${formatValue(setting, max)}`;
	return low + high === '' ? '' : `,${low}${high}`;
}

function refuse(setting: Setting, text: string): ValueResult<never> {
	const shown = setting.secret === true ? 'the value' : `'${text}'`;
	return err({message: `${shown} is not allowed here`, remedy: `give ${toExpectation(setting)}`});
}

function parseBoolean(text: string): ValueResult<boolean> {
	if (text === 'true' || text === 'false') {
		return ok(text === 'true');
	}

	return err({message: `'${text}' is neither true nor false`, remedy: 'write true or false'});
}

function parseChoice(setting: ChoiceSetting, text: string): ValueResult<string> {
	return setting.choices.includes(text) ? ok(text) : refuse(setting, text);
}

function parseAddresses(setting: AddressesSetting, text: string): ValueResult<readonly string[]> {
	const addresses = text.split(',').map(part => part.trim()).filter(part => part !== '');
	const wrong = addresses.find(address => !isAddress(address));
	return wrong === undefined && addresses.length > 0 ? ok(addresses) : refuse(setting, wrong ?? text);
}

function parseNumber(setting: NumberSetting, text: string): ValueResult<number> {
	const value = toNumber(setting.type, text);
	const {min, max} = setting.type === 'port' ? {min: 0, max: maxPort} : setting;
	if (value === undefined || !Number.isFinite(value) || (min !== undefined && value < min) || (max !== undefined && value > max)) {
		return refuse(setting, text);
	}

	return ok(value);
}

function toNumber(type: NumberSetting['type'], text: string): number | undefined {
	switch (type) {
		case 'duration': {
			return toWithUnit(text, durationUnits);
		}

		case 'bytes': {
			return toWithUnit(text, byteUnits);
		}

		case 'number': {
			return /^-?\d+(\.\d+)?$/.test(text) ? Number(text) : undefined;
		}

		case 'integer':
		case 'port': {
			return /^-?\d+$/.test(text) ? Number(text) : undefined;
		}
	}
}

/** Parses a number with a unit. A number without a unit is refused unless it is 0, because its unit would be ambiguous: `5` may have been meant as seconds. */
function toWithUnit(text: string, units: Readonly<Record<string, number>>): number | undefined {
	if (text === '0') {
		return 0;
	}

	const parts = /^(?<amount>\d+(?:\.\d+)?) ?(?<unit>[A-Za-z]+)$/.exec(text)?.groups;
	const factor = units[parts?.unit?.toLowerCase() ?? ''];
	return factor === undefined ? undefined : Math.round(Number(parts!.amount) * factor);
}

function parseText(setting: TextSetting, text: string): ValueResult<string> {
	return isAllowedText(setting, text) ? ok(text) : refuse(setting, text);
}

function isAllowedText(setting: TextSetting, text: string): boolean {
	switch (setting.type) {
		case 'ip': {
			return isIP(text) !== 0;
		}

		case 'address': {
			return isAddress(text);
		}

		case 'url': {
			return URL.canParse(text) && /^https?:/.test(text);
		}

		case 'text':
		case 'file': {
			return setting.pattern?.test.test(text) ?? true;
		}
	}
}

/** Whether a text is an address such as `127.0.0.1:80` or `[::1]:80`. Host names are refused because processes address each other by IP. */
function isAddress(text: string): boolean {
	const parts = /^(?:\[(?<six>[^\]]+)]|(?<four>[^:]+)):(?<port>\d{1,5})$/.exec(text)?.groups;
	if (parts === undefined || Number(parts.port) > maxPort) {
		return false;
	}

	return parts.six === undefined ? isIP(parts.four ?? '') === 4 : isIP(parts.six) === 6;
}
