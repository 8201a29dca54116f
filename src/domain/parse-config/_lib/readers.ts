/**
 * Readers of plain values. Each takes a value that was parsed from YAML or JSON,
 * and returns the typed value, or reports a fault and returns `undefined`. No
 * schema library is used, because the agent reads documents too and a schema
 * library takes 13 MB of its 64 MB of memory.
 */
import {isRecord} from '../../../_lib/is-record/index.js';
import {pickNearestName} from '../../../_lib/pick-nearest-name/index.js';
import {
	bytesPerGibibyte, bytesPerKibibyte, bytesPerMebibyte, msPerHour, msPerMinute, msPerSecond,
} from '../../../ports/units.js';
import {type FaultSink, type Path} from './faults.js';

export type Reader<T> = (value: unknown, path: Path, faults: FaultSink) => T | undefined;

type Field<T> = {read: Reader<T>; fallback?: T; required: boolean};

type Fields<T> = {[Key in keyof T]: Field<T[Key]>};

/** Describes a field that must be present. */
export function required<T>(read: Reader<T>): Field<T> {
	return {read, required: true};
}

/** Describes a field that may be left out, with its default value. */
export function optional<T>(read: Reader<T>, fallback: T): Field<T> {
	return {read, fallback, required: false};
}

/** Formats a value for a message, on one line and cut to 60 characters. */
export function toValueText(value: unknown): string {
	if (value === undefined || value === null) {
		return 'nothing';
	}

	const text = JSON.stringify(value) ?? 'nothing';
	return text.length > 60 ? `${text.slice(0, 57)}...` : text;
}

/** Returns the remedy for an unknown name: the nearest known name, or else the first known ones. */
export function toNameRemedy(name: string, known: Iterable<string>): string {
	const names = [...known];
	const nearest = pickNearestName(name, names);
	if (nearest !== undefined) {
		return `write ${JSON.stringify(nearest)}`;
	}

	if (names.length === 0) {
		return 'define it first';
	}

	const shown = names.slice(0, 8).join(', ');
	return `write one of: ${shown}${names.length > 8 ? ', ...' : ''}`;
}

/** Reads text that matches a pattern; `wanted` describes the pattern in messages. */
export function text(pattern: RegExp, wanted: string): Reader<string> {
	return (value, path, faults) => {
		if (typeof value === 'number' || typeof value === 'boolean') {
			faults.add(path, `${toValueText(value)} is read as a ${typeof value}, not as text`, `put it in quotes, as in '${String(value)}'`);
			return undefined;
		}

		if (typeof value !== 'string' || !pattern.test(value)) {
			faults.add(path, `${toValueText(value)} is not ${wanted}`, `write ${wanted}`);
			return undefined;
		}

		return value;
	};
}

/** Reads one of several allowed words. */
export function oneOf<const T extends string>(...allowed: readonly T[]): Reader<T> {
	return (value, path, faults) => {
		const found = allowed.find(word => word === value);
		if (found === undefined) {
			faults.add(path, `${toValueText(value)} is not known here`, toNameRemedy(String(value), allowed));
		}

		return found;
	};
}

/** Reads a whole number within bounds. */
export function integer(min: number, max: number): Reader<number> {
	return (value, path, faults) => {
		if (typeof value !== 'number' || !Number.isInteger(value) || value < min || value > max) {
			faults.add(path, `${toValueText(value)} is not a whole number from ${min} to ${max}`, `write a whole number from ${min} to ${max}, without quotes`);
			return undefined;
		}

		return value;
	};
}

/** Reads `true` or `false`. */
export const flag: Reader<boolean> = (value, path, faults) => {
	if (typeof value !== 'boolean') {
		faults.add(path, `${toValueText(value)} is neither true nor false`, 'write true or false, without quotes');
		return undefined;
	}

	return value;
};

const durationUnits: Readonly<Record<string, number>> = {
	ms: 1, s: msPerSecond, m: msPerMinute, h: msPerHour,
};

const sizeUnits: Readonly<Record<string, number>> = {
	B: 1, kB: 1e3, MB: 1e6, GB: 1e9, KiB: bytesPerKibibyte, MiB: bytesPerMebibyte, GiB: bytesPerGibibyte,
};

/** Reads a number with its unit, such as `1.3s`, and converts it to the smallest unit. */
function quantity(units: Readonly<Record<string, number>>, example: string): Reader<number> {
	const pattern = /^(\d+(?:\.\d+)?) ?([a-zA-Z]+)$/;
	return (value, path, faults) => {
		const match = typeof value === 'string' ? pattern.exec(value) : undefined;
		const factor = match ? units[match[2]!] : undefined;
		const amount = match && factor !== undefined ? Math.round(Number(match[1]) * factor) : 0;
		if (amount <= 0 || !Number.isSafeInteger(amount)) {
			faults.add(path, `${toValueText(value)} is not a number with one of the units ${Object.keys(units).join(', ')}`, `write it like ${example}`);
			return undefined;
		}

		return amount;
	};
}

/** Reads a duration such as `1.3s` or `61ms` into milliseconds. */
export const duration = quantity(durationUnits, '61ms, 1.3s, 5m or 2h');

/** Reads a size such as `500MB` into bytes. */
export const size = quantity(sizeUnits, '500MB or 64MiB');

/** Reads a list; entries with faults are reported and left out of the result. */
export function listOf<T>(read: Reader<T>, min = 0): Reader<readonly T[]> {
	return (value, path, faults) => {
		if (!Array.isArray(value)) {
			faults.add(path, `${toValueText(value)} is not a list`, 'write a list: one line for each entry, starting with "- "');
			return undefined;
		}

		if (value.length < min) {
			faults.add(path, 'the list is empty', 'name at least one entry, or leave the key out');
			return undefined;
		}

		const items: T[] = [];
		for (const [i, entry] of value.entries()) {
			const item = read(entry, [...path, i], faults);
			if (item !== undefined) {
				items.push(item);
			}
		}

		return items;
	};
}

/** An entry of a list with its position in the document. The semantic checks report that position, which differs from the one in the result when faulty entries were left out. */
export type Indexed<T> = {
	index: number;
	value: T;
};

/** Like {@link listOf}, but returns each entry with its position. */
export function indexedListOf<T>(read: Reader<T>, min = 0): Reader<ReadonlyArray<Indexed<T>>> {
	return listOf((value, path, faults) => {
		const item = read(value, path, faults);
		return item === undefined ? undefined : {index: Number(path.at(-1)), value: item};
	}, min);
}

/** Reads one value or a list of values, and always returns a list. */
export function oneOrMore<T>(read: Reader<T>): Reader<readonly T[]> {
	const readList = listOf(read, 1);
	return (value, path, faults) => {
		if (Array.isArray(value)) {
			return readList(value, path, faults);
		}

		const item = read(value, path, faults);
		return item === undefined ? undefined : [item];
	};
}

/** Reads a map with arbitrary keys that match a pattern and values of one type. */
export function mapOf<T>(key: {pattern: RegExp; wanted: string}, read: Reader<T>): Reader<Readonly<Record<string, T>>> {
	return (value, path, faults) => {
		if (!isRecord(value)) {
			faults.add(path, `${toValueText(value)} is not a map`, 'write one "key: value" a line, indented');
			return undefined;
		}

		const entries: Array<[string, T]> = [];
		for (const [name, item] of Object.entries(value)) {
			if (!key.pattern.test(name)) {
				faults.add([...path, name], `the key ${toValueText(name)} is not ${key.wanted}`, `write ${key.wanted}`, 'key');
			}

			const result = read(item, [...path, name], faults);
			if (result !== undefined) {
				entries.push([name, result]);
			}
		}

		return Object.fromEntries(entries);
	};
}

/** Reads a map with a fixed set of keys. An unknown key is a fault, whose remedy names the nearest known key. */
export function record<T extends Record<string, unknown>>(fields: Fields<T>): Reader<T> {
	const readPartial = partialRecord(fields);
	const names = Object.keys(fields);
	return (value, path, faults) => {
		const result = readPartial(value, path, faults);
		return result && names.every(name => name in result) ? result as T : undefined;
	};
}

/** Like {@link record}, but returns the valid fields when others have faults. */
export function partialRecord<T extends Record<string, unknown>>(fields: Fields<T>): Reader<Partial<T>> {
	const entries = Object.entries(fields) as Array<[string, Field<unknown>]>;
	const names = Object.keys(fields);
	return (value, path, faults) => {
		if (!isRecord(value)) {
			faults.add(path, `${toValueText(value)} is not a map`, `write "key: value" pairs with keys of: ${names.join(', ')}`);
			return undefined;
		}

		addUnknownKeys(value, names, path, faults);
		const result: Record<string, unknown> = {};
		for (const [name, field] of entries) {
			const given = value[name];
			if (given === undefined && !field.required) {
				result[name] = field.fallback;
				continue;
			}

			if (given === undefined) {
				faults.add(path, `"${name}" is missing`, `add "${name}: ..."`);
				continue;
			}

			const item = readField(field, given, [...path, name], faults);
			if (item !== undefined) {
				result[name] = item;
			}
		}

		return result as Partial<T>;
	};
}

function readField(field: Field<unknown>, given: unknown, path: Path, faults: FaultSink): unknown {
	if (given === null) {
		faults.add(path, `"${path.at(-1)!}" is empty`, field.required ? 'give it a value' : 'give it a value or leave the key out', 'key');
		return undefined;
	}

	return field.read(given, path, faults);
}

function addUnknownKeys(value: Record<string, unknown>, names: readonly string[], path: Path, faults: FaultSink): void {
	for (const key of Object.keys(value)) {
		if (!names.includes(key)) {
			faults.add([...path, key], `"${key}" is not a key here`, toNameRemedy(key, names), 'key');
		}
	}
}
