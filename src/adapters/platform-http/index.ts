/**
 * Reads and watches the platform's values over HTTP. The protocol is in
 * `docs/design/002-interfaces.md`; nothing is ever written.
 */
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {isRecord} from '../../_lib/is-record/index.js';
import {createHttpAgent} from '../_lib/create-http-agent/index.js';
import {limitedBySignal} from '../_lib/dispatch-call/index.js';
import {readAnswer, type AnswerFault, type WholeAnswer} from '../_lib/read-answer/index.js';
import {type Milliseconds} from '../../ports/clock.js';
import {
	type Platform, type PlatformFailure, type PlatformKey, type PlatformValue,
} from '../../ports/platform.js';
import {bytesPerKibibyte, bytesPerMebibyte, msPerSecond} from '../../ports/units.js';

export type PlatformHttpOptions = {
	/** `http://IP:port`. */
	url: string;
	/** Name of this reader, sent in `x-client` for the platform's own statistics. */
	client?: string;
	connectTimeoutMs?: Milliseconds;
	/** Time to the head of an answer, beyond the wait of a watch, and longest pause between two bytes of it. */
	answerTimeoutMs?: Milliseconds;
};

export type PlatformHttp = Platform & {
	/** Closes the connections. */
	close: () => Promise<void>;
};

const maxValueBytes = bytesPerMebibyte;
/** JSON encodes one byte of a value in at most six (`\u0000`); the rest of the document is small. */
const maxAnswerBytes = (6 * maxValueBytes) + 1024;

/** A platform that sends less is treated as one that stands still. */
const minBytesPerSecond = 16 * bytesPerKibibyte;

function toFailure(kind: PlatformFailure['kind'], message: string): PlatformFailure {
	return {kind, message};
}

function toFaultFailure({kind, message}: AnswerFault): PlatformFailure {
	return kind === 'too-large' ? toFailure('too-large', message) : toFailure('unreachable', message);
}

function parseValue(text: string): Result<PlatformValue, PlatformFailure> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		return err(toFailure('invalid', 'the platform answered with no JSON'));
	}

	if (!isRecord(value) || typeof value.value !== 'string' || !Number.isSafeInteger(value.revision) || Number(value.revision) < 0) {
		return err(toFailure('invalid', 'the platform\'s answer has no revision and value'));
	}

	return Buffer.byteLength(value.value) > maxValueBytes
		? err(toFailure('too-large', `the value is longer than ${maxValueBytes} bytes`))
		: ok({revision: Number(value.revision), value: value.value});
}

function toValue({status, text}: WholeAnswer): Result<PlatformValue | undefined, PlatformFailure> {
	switch (status) {
		case 200: {
			return parseValue(text);
		}

		case 204:
		case 404: {
			return ok(undefined);
		}

		case 429: {
			return err(toFailure('overloaded', 'the platform\'s read budget is spent'));
		}

		default: {
			return err(toFailure('invalid', `the platform answered with status ${status}`));
		}
	}
}

/**
 * Creates the client of the platform.
 *
 * @param options - URL of the platform, and limits.
 * @returns The platform port, and a function that closes its connections.
 */
export function createPlatformHttp(options: PlatformHttpOptions): PlatformHttp {
	const {url, client, connectTimeoutMs = 2 * msPerSecond, answerTimeoutMs = 5 * msPerSecond} = options;
	const dispatcher = createHttpAgent({connections: 8, connectTimeoutMs});

	const get = async (path: string, waitMs: Milliseconds, signal?: AbortSignal): Promise<Result<PlatformValue | undefined, PlatformFailure>> => {
		const answer = await readAnswer({
			dispatcher,
			origin: url,
			method: 'GET',
			path,
			headers: client === undefined ? {} : {'x-client': client},
			headersTimeoutMs: limitedBySignal,
			idleTimeoutMs: limitedBySignal,
			...(signal && {signal}),
		}, maxAnswerBytes, {arrival: {headMs: waitMs + answerTimeoutMs, silentMs: answerTimeoutMs, minBytesPerSecond}});
		return answer.mapErr(fault => toFaultFailure(fault)).andThen(whole => toValue(whole));
	};

	const toPath = (key: PlatformKey): string => `/v1/values/${encodeURIComponent(key)}`;

	return {
		read: key => new ResultAsync(get(toPath(key), 0)),
		watch: (key, sinceRevision, waitMs, signal) => new ResultAsync(get(`${toPath(key)}?since=${sinceRevision}&wait_ms=${Math.round(waitMs)}`, waitMs, signal)),
		async close() {
			await dispatcher.destroy();
		},
	};
}
