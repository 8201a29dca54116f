/**
 * One HTTP call through undici, with the one thing that its usual functions do
 * not tell: whether any byte was offered to the other side.
 */
import {type Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';
import {type Milliseconds} from '../../../ports/clock.js';

/** Why a call gave no answer. */
export type CallFault = {
	/** `aborted` is the caller's own signal; `unreachable` that no byte was offered; `broken` anything after that. */
	kind: 'aborted' | 'unreachable' | 'broken';
	message: string;
	/** The other side closed the connection after it was sent the call. */
	isClosed?: boolean;
};

/** Holds back and lets on the bytes of an answer, or ends it. */
export type CallFlow = {
	pause: () => void;
	resume: () => void;
	/** Closes the connection; nothing is reported afterwards. */
	abandon: () => void;
	/** Reads the rest and drops it, so that the connection can serve again; nothing is reported afterwards. */
	discard: () => void;
};

export type CallSink = {
	onStart: (status: number, headers: Record<string, string | string[] | undefined>, flow: CallFlow) => void;
	onData: (bytes: Buffer) => void;
	onEnd: () => void;
	onFault: (fault: CallFault) => void;
};

/**
 * For a call whose signal ends it in time. A second timer of the same length
 * races with the first, and what ends the call, and the fault that its log line
 * names, would differ from one call to the next.
 */
export const limitedBySignal: Milliseconds = 0;

export type Call = {
	dispatcher: Dispatcher;
	origin: string;
	method: Dispatcher.HttpMethod;
	path: string;
	/** Encoded as JSON. */
	body?: unknown;
	/** Bytes as they are, in place of `body`; nothing is taken out of an iterable before the call is offered. */
	payload?: Buffer | AsyncIterable<Uint8Array>;
	headers?: Record<string, string | string[]>;
	/** Limit of the wait for the head of the answer; {@link limitedBySignal} where the signal of the call is its limit. */
	headersTimeoutMs: Milliseconds;
	/** Limit of silence within the answer; 0 for none. */
	idleTimeoutMs: Milliseconds;
	signal?: AbortSignal;
};

/** Codes of errors by which the other side's end of a connection shows. */
const closedCodes: ReadonlySet<string | undefined> = new Set(['UND_ERR_SOCKET', 'ECONNRESET', 'EPIPE']);

const isClosing = (error: Error): boolean => closedCodes.has((error as {code?: string}).code);

function toMessage(error: Error): string {
	const {code} = error as {code?: string};
	return [code, error.message].filter(Boolean).join(': ') || error.name;
}

/**
 * Sends one call and reports its answer to a sink. After `onEnd` or `onFault`
 * the sink hears nothing more, and it hears exactly one of them unless it
 * abandons the call.
 *
 * @param call - What to send, and the limits of waiting.
 * @param sink - Takes the answer.
 */
export function dispatchCall(call: Call, sink: CallSink): void {
	const {signal} = call;
	let isOffered = false;
	let isOver = false;
	let stop: ((reason: Error) => void) | undefined;

	const end = (report?: () => void): void => {
		if (isOver) {
			return;
		}

		isOver = true;
		signal?.removeEventListener('abort', onAbort);
		report?.();
	};

	const fail = (kind: CallFault['kind'], message: string, isClosed = false): void => {
		end(() => {
			sink.onFault({kind, message, ...(isClosed && {isClosed})});
		});
	};

	function onAbort(): void {
		fail('aborted', 'aborted by this process');
		stop?.(new Error('aborted'));
	}

	const toFlow = (controller: Dispatcher.DispatchController): CallFlow => ({
		pause() {
			controller.pause();
		},
		resume() {
			controller.resume();
		},
		abandon() {
			end();
			controller.abort(new Error('abandoned'));
		},
		discard() {
			end();
		},
	});

	if (signal?.aborted) {
		onAbort();
		return;
	}

	signal?.addEventListener('abort', onAbort, {once: true});
	const hasBody = call.body !== undefined;
	call.dispatcher.dispatch({
		origin: call.origin,
		path: call.path,
		method: call.method,
		body: hasBody ? JSON.stringify(call.body) : call.payload as Buffer | undefined ?? null,
		headers: {...call.headers, ...(hasBody && {'content-type': 'application/json'})},
		headersTimeout: call.headersTimeoutMs,
		bodyTimeout: call.idleTimeoutMs,
	}, {
		onRequestStart(controller) {
			// Given up while the connection was being made: nothing is sent.
			if (isOver) {
				controller.abort(new Error('given up'));
				return;
			}

			// The client may send again after some socket errors; a call that was offered must not be offered twice.
			if (isOffered) {
				fail('broken', 'the connection failed after the call was sent', true);
				controller.abort(new Error('sent before'));
				return;
			}

			isOffered = true;
			stop = reason => {
				controller.abort(reason);
			};
		},
		onResponseStart(controller, status, headers) {
			if (!isOver && status >= 200) {
				sink.onStart(status, headers, toFlow(controller));
			}
		},
		onResponseData(_, bytes) {
			if (!isOver) {
				sink.onData(bytes);
			}
		},
		onResponseEnd() {
			end(() => {
				sink.onEnd();
			});
		},
		onResponseError(_, error) {
			fail(isOffered ? 'broken' : 'unreachable', toMessage(error), isOffered && isClosing(error));
		},
	});
}
