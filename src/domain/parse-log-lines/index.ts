/** Parses log lines of the programs, for the analysis of failures. */
import {isRecord} from '../../_lib/is-record/index.js';

export type LogLine = {
	/** Wall-clock time at the host that wrote the line, milliseconds since 1970. */
	at: number;
	level: string;
	message: string;
	host: string;
	/** All other fields of the line, in the order written. */
	fields: Readonly<Record<string, string | number | boolean>>;
};

export type ParsedLog = {
	/** Lines ordered by time; lines with the same time in the order written. */
	lines: LogLine[];
	/** Number of lines that are not log lines of these programs. */
	unreadable: number;
};

/** Fields that identify the program that wrote a line; they are left out because they repeat on every line. */
const omittedFields = new Set(['time', 'level', 'message', 'host', 'program', 'zone', 'incarnation']);

function parseLine(text: string): LogLine | undefined {
	// Log collectors may write a time or a name before the line.
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
 * Parses the log lines of one or more hosts.
 *
 * @param texts - Contents of log files, one entry per line; text that a collector wrote before an entry is ignored.
 * @returns The lines in order, and the number of unreadable lines.
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
