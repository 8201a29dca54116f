/**
 * Turns the bytes of a stream into chunks for one reader. Tokens that arrive
 * while the reader is busy are joined into one chunk; above a limit the
 * connection is paused (back-pressure).
 */
import {Buffer} from 'node:buffer';
import {
	type AttemptKey, type DecodeChunk, type EngineFailure, type EngineStreamError, type FinishReason,
} from '../../../ports/engine.js';
import {type CallFault, type CallFlow} from '../../_lib/dispatch-call/index.js';
import {type ChunkReader} from './create-chunk-reader.js';

export type ChunkStream = {
	chunks: AsyncIterable<DecodeChunk>;
	onData: (bytes: Buffer) => void;
	onEnd: () => void;
	onFault: (fault: CallFault) => void;
};

type Options = {
	key: AttemptKey;
	reader: ChunkReader;
	flow: CallFlow;
	toFailure: (kind: EngineFailure['kind'], message: string) => EngineFailure;
};

/** Number of tokens waiting for the reader above which the connection is paused. */
const maxWaitingTokens = 8192;

function toStreamError(failure: EngineFailure): EngineStreamError {
	return Object.assign(new Error(`stream of ${failure.server}: ${failure.message}`), {failure});
}

type Waiter = {resolve: (result: IteratorResult<DecodeChunk>) => void; reject: (error: Error) => void};

/**
 * Creates the chunk stream of one connection.
 *
 * @param options - Attempt, parser, control of the connection, and maker of failures.
 * @returns The chunks, and handlers for the connection's events.
 */
export function createChunkStream({key, reader, flow, toFailure}: Options): ChunkStream {
	let offset = reader.offset();
	let waiting: Buffer[] = [];
	let tokens: string[] = [];
	let finish: FinishReason | undefined;
	let failure: EngineFailure | undefined;
	let isDone = false;
	let isPaused = false;
	let waiter: Waiter | undefined;

	const takeChunk = (): DecodeChunk => {
		const chunk: DecodeChunk = {
			requestId: key.requestId, attempt: key.attempt, offset, tokens, finish,
		};
		offset += tokens.length;
		tokens = [];
		isDone = finish !== undefined;
		if (isPaused) {
			isPaused = false;
			flow.resume();
		}

		return chunk;
	};

	const hasChunk = (): boolean => !isDone && (tokens.length > 0 || finish !== undefined);

	const settleWaiter = (): void => {
		if (waiter === undefined) {
			return;
		}

		const {resolve, reject} = waiter;
		if (hasChunk()) {
			waiter = undefined;
			resolve({done: false, value: takeChunk()});
		} else if (isDone) {
			waiter = undefined;
			resolve({done: true, value: undefined});
		} else if (failure !== undefined) {
			waiter = undefined;
			isDone = true;
			reject(toStreamError(failure));
		}
	};

	const fail = (kind: EngineFailure['kind'], message: string): void => {
		failure ??= toFailure(kind, message);
		settleWaiter();
	};

	const iterator: AsyncIterator<DecodeChunk> = {
		async next() {
			return new Promise((resolve, reject) => {
				waiter = {resolve, reject};
				settleWaiter();
			});
		},
		async return() {
			isDone = true;
			tokens = [];
			// After the end mark only the end of the answer follows, and the connection can be reused.
			if (finish === undefined) {
				flow.abandon();
			}

			return {done: true, value: undefined};
		},
	};

	const readWaiting = (): void => {
		if (waiting.length === 0) {
			return;
		}

		const bytes = waiting.length === 1 ? waiting[0]! : Buffer.concat(waiting);
		waiting = [];
		const read = reader.add(bytes);
		for (const token of read.tokens) {
			tokens.push(token);
		}

		finish = read.finish;
		if (read.fault !== undefined && finish === undefined) {
			flow.abandon();
			fail('invalid', read.fault);
			return;
		}

		if (tokens.length > maxWaitingTokens && !isPaused) {
			isPaused = true;
			flow.pause();
		}

		settleWaiter();
	};

	return {
		chunks: {[Symbol.asyncIterator]: () => iterator},
		onData(bytes) {
			waiting.push(bytes);
			// An engine writes each token separately, and one read of the socket brings many tokens; parsing them together is cheaper.
			if (waiting.length === 1) {
				queueMicrotask(readWaiting);
			}
		},
		onEnd() {
			readWaiting();
			if (finish === undefined) {
				fail('broken', 'the stream ended without its end mark');
			}
		},
		onFault({kind, message}) {
			readWaiting();
			// After the end mark the answer is complete, so a failure of the connection no longer matters.
			if (finish === undefined) {
				fail(kind === 'aborted' ? 'aborted' : 'broken', message);
			}
		},
	};
}
