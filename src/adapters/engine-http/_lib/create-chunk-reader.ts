/**
 * Parses the lines of a stream and returns the tokens of one attempt, each once
 * and in order. Does no I/O.
 */
import {Buffer, isUtf8} from 'node:buffer';
import {isRecord} from '../../../_lib/is-record/index.js';
import {type FinishReason} from '../../../ports/engine.js';
import {type AttemptNumber, type RequestId} from '../../../ports/ids.js';

/**
 * Why tokens were dropped.
 *
 * - `crossed`: a line of another request or attempt, or one after the end of the answer.
 * - `repeated`: tokens that were received before.
 */
export type DropCause = 'crossed' | 'repeated';

export type ChunkReaderOptions = {
	requestId: RequestId;
	attempt: AttemptNumber;
	/** Offset of the first token wanted. */
	offset: number;
	maxLineBytes: number;
	onDropped: (cause: DropCause, tokens: number) => void;
};

/** Result of one read. Tokens before a fault are valid. */
export type ChunkRead = {
	tokens: string[];
	finish: FinishReason | undefined;
	/** Why the rest of this stream can't be used; `undefined` while there is no fault. */
	fault: string | undefined;
};

export type ChunkReader = {
	/** Parses the bytes of one read, split anywhere. */
	add: (bytes: Buffer) => ChunkRead;
	/** Offset of the next token. */
	offset: () => number;
	isFinished: () => boolean;
};

type Line = {requestId: string; attempt: number; offset: number; tokens: string[]; finish: FinishReason | undefined};

const newline = 0x0A;
const quote = '"';

function isText(value: unknown): value is string {
	return typeof value === 'string';
}

function parseLine(text: string): Line | undefined {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		return undefined;
	}

	if (!isRecord(value) || !Array.isArray(value.tokens) || !value.tokens.every(token => isText(token))) {
		return undefined;
	}

	const {
		requestId, attempt, offset, tokens, finish,
	} = value;
	const isFinish = finish === undefined || finish === null || finish === 'stop' || finish === 'length';
	if (!isText(requestId) || !Number.isSafeInteger(attempt) || !Number.isSafeInteger(offset) || Number(offset) < 0 || !isFinish) {
		return undefined;
	}

	return {
		requestId, attempt: Number(attempt), offset: Number(offset), tokens, finish: finish ?? undefined,
	};
}

/**
 * Fast path: reads the tokens of a line in its usual form without a JSON parser,
 * which would take most of a relay's processor time. For any other form (escapes,
 * an end mark, another order of fields) returns `false` and leaves `tokens`
 * unchanged, so that the caller uses the parser.
 */
function parsePlainTokens(text: string, from: number, tokens: string[]): boolean {
	const before = tokens.length;
	let at = from;
	for (;;) {
		const end = text.indexOf(quote, at);
		const token = end === -1 ? '\\' : text.slice(at, end);
		const next = text[end + 1];
		if (token.includes('\\') || (next !== ',' && next !== ']')) {
			break;
		}

		tokens.push(token);
		if (next === ']') {
			if (end + 3 === text.length && text[end + 2] === '}') {
				return true;
			}

			break;
		}

		if (text[end + 2] !== quote) {
			break;
		}

		at = end + 3;
	}

	tokens.length = before;
	return false;
}

/**
 * Creates the reader of one stream.
 *
 * @param options - Request and attempt of the stream, offset of the first token wanted, and limits.
 * @returns See {@link ChunkReader}.
 */
export function createChunkReader(options: ChunkReaderOptions): ChunkReader {
	const {requestId, attempt, maxLineBytes, onDropped} = options;
	const head = `{"requestId":${JSON.stringify(requestId)},"attempt":${attempt},"offset":`;
	let parts: Buffer[] = [];
	let partBytes = 0;
	let next = options.offset;
	let finish: FinishReason | undefined;
	let fault: string | undefined;

	const handleParsedLine = (text: string, tokens: string[]): void => {
		const line = parseLine(text);
		if (line === undefined) {
			fault = 'a line of the stream is not a valid chunk';
			return;
		}

		if (line.requestId !== requestId || line.attempt !== attempt || finish !== undefined) {
			onDropped('crossed', line.tokens.length);
			return;
		}

		if (line.offset > next) {
			fault = `tokens ${next} to ${line.offset - 1} are missing`;
			return;
		}

		const known = next - line.offset;
		if (known > 0) {
			onDropped('repeated', Math.min(known, line.tokens.length));
		}

		const fresh = line.tokens.slice(known);
		if (line.finish !== undefined && known > line.tokens.length) {
			fault = 'the end mark comes before tokens that were sent';
			return;
		}

		for (const token of fresh) {
			tokens.push(token);
		}

		next += fresh.length;
		finish = line.finish;
	};

	const handleLine = (text: string, tokens: string[]): void => {
		const expectedHead = `${head}${next},"tokens":["`;
		const before = tokens.length;
		if (finish === undefined && text.startsWith(expectedHead) && parsePlainTokens(text, expectedHead.length, tokens)) {
			next += tokens.length - before;
			return;
		}

		handleParsedLine(text, tokens);
	};

	const handleLines = (block: Buffer, tokens: string[]): void => {
		if (!isUtf8(block)) {
			fault = 'the stream is not valid UTF-8';
			return;
		}

		const text = block.toString('utf8');
		let start = 0;
		while (start < text.length && fault === undefined) {
			const end = text.indexOf('\n', start);
			if (end - start > maxLineBytes) {
				fault = `a line of the stream is longer than ${maxLineBytes} bytes`;
				return;
			}

			if (end > start) {
				handleLine(text.slice(start, end), tokens);
			}

			start = end + 1;
		}
	};

	const addRest = (rest: Buffer): void => {
		if (rest.length > 0) {
			parts.push(rest);
			partBytes += rest.length;
		}

		if (partBytes > maxLineBytes) {
			fault ??= `a line of the stream is longer than ${maxLineBytes} bytes`;
		}

		if (fault !== undefined) {
			parts = [];
			partBytes = 0;
		}
	};

	return {
		add(bytes) {
			const tokens: string[] = [];
			if (fault === undefined) {
				const end = bytes.lastIndexOf(newline) + 1;
				if (end > 0) {
					const whole = bytes.subarray(0, end);
					const block = parts.length === 0 ? whole : Buffer.concat([...parts, whole]);
					parts = [];
					partBytes = 0;
					handleLines(block, tokens);
				}

				addRest(bytes.subarray(end));
			}

			return {tokens, finish, fault};
		},
		offset: () => next,
		isFinished: () => finish !== undefined,
	};
}
