/**
 * Assembles a caller's answer: accepts each token of the current attempt once, in
 * order, and drops all other chunks.
 */
import {type DecodeChunk, type FinishReason} from '../../ports/engine.js';
import {type AttemptNumber, type RequestId} from '../../ports/ids.js';

/** Why a chunk was not taken. */
export type DropCause = 'other-request' | 'other-attempt' | 'repeated' | 'after-end';

export type AcceptedChunk =
	/** Text of the new tokens, to be relayed now. */
	| {kind: 'fresh'; text: string; tokens: number; finish: FinishReason | undefined}
	| {kind: 'dropped'; cause: DropCause}
	/** Tokens before this chunk are missing: the stream must be resumed at the offset. */
	| {kind: 'gap'; offset: number};

export type AnswerBuffer = {
	/** Makes an attempt the current one; it continues after the tokens accepted so far. Chunks of all other attempts are dropped. */
	startAttempt: (attempt: AttemptNumber) => void;
	accept: (chunk: DecodeChunk) => AcceptedChunk;
	/** Offset of the next token: the number of tokens accepted over all attempts. */
	offset: () => number;
	/** All tokens accepted so far; empty unless `keepsTokens`. */
	tokens: () => readonly string[];
	finish: () => FinishReason | undefined;
	dropped: () => number;
};

export type AnswerBufferOptions = {
	requestId: RequestId;
	/** Whether to keep the tokens, for non-streamed answers and for continuing on another server. */
	keepsTokens: boolean;
};

/**
 * Creates the buffer of one request. Engines may send chunks late, twice or on the
 * wrong stream, or lose some; if these were relayed, the caller would see text of
 * another request or a gap. The request, attempt and offset of every chunk are
 * therefore checked before any of it is relayed.
 *
 * @param options - The request's id, and whether the tokens are kept.
 * @returns The buffer.
 *
 * @example
 * ```ts
 * const buffer = createAnswerBuffer({requestId: 'r1', keepsTokens: true});
 * buffer.startAttempt(1);
 * buffer.accept({requestId: 'r1', attempt: 1, offset: 0, tokens: ['Zdravo'], finish: 'stop'});
 * buffer.tokens(); // => ['Zdravo']
 * ```
 */
export function createAnswerBuffer(options: AnswerBufferOptions): AnswerBuffer {
	const {requestId, keepsTokens} = options;
	const kept: string[] = [];
	let current: AttemptNumber = 0;
	let next = 0;
	let finish: FinishReason | undefined;
	let dropped = 0;

	function drop(cause: DropCause): AcceptedChunk {
		dropped++;
		return {kind: 'dropped', cause};
	}

	function take(chunk: DecodeChunk): AcceptedChunk {
		const known = next - chunk.offset;
		const fresh = known === 0 ? chunk.tokens : chunk.tokens.slice(known);
		next += fresh.length;
		finish = chunk.finish;
		if (keepsTokens) {
			kept.push(...fresh);
		}

		const text = fresh.length === 1 ? fresh[0]! : fresh.join('');
		return {
			kind: 'fresh', text, tokens: fresh.length, finish,
		};
	}

	return {
		startAttempt(attempt) {
			current = attempt;
		},
		accept(chunk) {
			if (chunk.requestId !== requestId) {
				return drop('other-request');
			}

			if (chunk.attempt !== current) {
				return drop('other-attempt');
			}

			if (finish !== undefined) {
				return drop('after-end');
			}

			if (chunk.offset > next) {
				return {kind: 'gap', offset: next};
			}

			const end = chunk.offset + chunk.tokens.length;
			const addsNothing = end <= next && chunk.finish === undefined;
			// An end mark before the end of the accepted tokens contradicts them, so it cannot be this answer's end.
			return addsNothing || end < next ? drop('repeated') : take(chunk);
		},
		offset: () => next,
		tokens: () => kept,
		finish: () => finish,
		dropped: () => dropped,
	};
}
