/**
 * Structured logs with winston: one JSON object per line, with the identity of
 * the process (program, host, zone, incarnation) and an allow-list of fields.
 */
import winston from 'winston';
import {type HostId, type Incarnation, type ZoneId} from '../../ports/ids.js';
import {bytesPerMebibyte} from '../../ports/units.js';
import {createBoundedSink, type LineSink} from './bounded-sink.js';
import {type LogFields, redactFields, redactText} from './fields.js';

export {type LogFieldName, type LogFields, type LogValue} from './fields.js';
export {type LineSink} from './bounded-sink.js';

export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Fields, or a function that returns them, called only when the level is enabled. */
export type LogFieldsOrMaker = LogFields | (() => LogFields);

export type LogMethod = (message: string, fields?: LogFieldsOrMaker) => void;

export type Log = Readonly<Record<LogLevel, LogMethod>> & {
	/** Whether lines of a level are written, for callers whose fields are expensive to compute. */
	isOn: (level: LogLevel) => boolean;
	/** Creates a log that adds these fields to all its lines. */
	with: (fields: LogFields) => Log;
	/** Number of lines dropped so far because standard output was blocked. */
	droppedCount: () => number;
	/** Resolves when all lines so far are written, or after the timeout, milliseconds. */
	flush: (timeoutMs: number) => Promise<void>;
};

export type LogOptions = {
	level: LogLevel;
	/** Name of the program, for example `banyanport-entry`. */
	program: string;
	host: HostId;
	zone: ZoneId;
	incarnation: Incarnation;
	/** Destination of lines; standard output by default. */
	sink?: LineSink;
	/** Bytes that may wait for the sink; lines above the limit are dropped and counted. */
	maxPendingBytes?: number;
	/** Wall clock, for the time stamp of lines. */
	wallNow?: () => number;
};

const severities: Readonly<Record<LogLevel, number>> = {
	error: 0, warn: 1, info: 2, debug: 3,
};

/**
 * Creates the log of a program.
 *
 * @param options - Level, identity of the process, and destination of lines.
 * @returns The log. It never throws and never blocks: while standard output is blocked, lines are dropped, and the next written line reports how many.
 *
 * @example
 * ```ts
 * const log = createLog({level: 'info', program: 'banyanport-entry', host: 'dvorana-a-1', zone: 'dvorana-a', incarnation: 1});
 * log.info('listening', {callerPort: 7400});
 * ```
 */
export function createLog(options: LogOptions): Log {
	const {wallNow = Date.now} = options;
	const identity = {
		program: options.program, host: options.host, zone: options.zone, incarnation: options.incarnation,
	};
	const bounded = createBoundedSink({
		sink: options.sink ?? process.stdout,
		maxPendingBytes: options.maxPendingBytes ?? 4 * bytesPerMebibyte,
		toDroppedLine: count => toLine('warn', 'log lines were dropped because standard output took none', {dropped: count}),
	});

	function toLine(level: LogLevel, message: string, fields: LogFields): string {
		return JSON.stringify({
			level, message: redactText(message), time: new Date(wallNow()).toISOString(), ...identity, ...redactFields(fields),
		});
	}

	// Lines are formatted before they are passed to winston, so that winston neither copies nor inspects the fields.
	const logger = winston.createLogger({
		levels: severities,
		level: options.level,
		format: winston.format.printf(info => String(info.message)),
		transports: [new winston.transports.Stream({stream: bounded.stream, eol: '\n'})],
		exitOnError: false,
	});
	const threshold = severities[options.level];

	function createWith(base: LogFields): Log {
		const write = (level: LogLevel): LogMethod => (message, fields) => {
			if (severities[level] > threshold) {
				return;
			}

			const own = typeof fields === 'function' ? fields() : fields;
			logger.log({level, message: toLine(level, message, {...base, ...own})});
		};

		return {
			error: write('error'),
			warn: write('warn'),
			info: write('info'),
			debug: write('debug'),
			isOn: level => severities[level] <= threshold,
			with: fields => createWith({...base, ...fields}),
			droppedCount: bounded.droppedCount,
			flush: bounded.flush,
		};
	}

	return createWith({});
}
