/** Log lines of the programs, read back for whoever looks for a cause. */
import {isRecord} from '../../_lib/is-record/index.js';

export type LogLine = {
	/** Time of day at the host that wrote it, milliseconds since 1970. */
	at: number;
	level: string;
	message: string;
	host: string;
	/** Everything else that the line says, in the order written. */
	fields: Readonly<Record<string, string | number | boolean>>;
};

export type ParsedLog = {
	/** In the order of their times; those of one moment in the order written. */
	lines: LogLine[];
	/** Lines that are none of ours. */
	unreadable: number;
};

/** What a line says of its writer, which a reader of many lines doesn't want repeated. */
const omittedFields = new Set(['time', 'level', 'message', 'host', 'program', 'zone', 'incarnation']);

function parseLine(text: string): LogLine | undefined {
	// Collectors put a time or a name of their own before the line.
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	let value: unknown;
	try {
		value = JSON.parse(text.slice(start));
	} catch {
		return undefined;
	}

	if (!isRecord(value) || typeof value.time !== 'string' || typeof value.message !== 'string') {
		return undefined;
	}

	const at = Date.parse(value.time);
	const fields = Object.entries(value).filter((entry): entry is [string, string | number | boolean] =>
		!omittedFields.has(entry[0]) && ['string', 'number', 'boolean'].includes(typeof entry[1]));
	if (Number.isNaN(at)) {
		return undefined;
	}

	return {
		at, level: toText(value.level), message: value.message, host: toText(value.host), fields: Object.fromEntries(fields),
	};
}

const toText = (value: unknown): string => typeof value === 'string' ? value : '';

/**
 * Reads the lines of one or several hosts.
 *
 * @param texts - Contents of files, one line an entry; a collector's own words before a line are passed over.
 * @returns The lines in order, and how many could not be read.
 *
 * @example
 * ```ts
 * parseLogLines(['{"time":"2026-12-02T10:00:00.000Z","level":"info","message":"listening","host":"a"}']).lines.length; // => 1
 * ```
 */
export function parseLogLines(texts: readonly string[]): ParsedLog {
	const rows = texts.flatMap(text => text.split('\n').filter(row => row.trim() !== ''));
	const parsed = rows.map(row => parseLine(row));
	const lines = parsed.filter(line => line !== undefined);
	return {lines: lines.toSorted((a, b) => a.at - b.at), unreadable: rows.length - lines.length};
}
