/**
 * One HTTP call through undici that also reports whether any byte was offered to
 * the server, which undici's usual functions do not tell.
 */
import {type Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';
import {createAnswerJudge, type AnswerJudge, type AnswerVerdict} from '../../../domain/create-answer-judge/index.js';
import {type AnswerFraming} from '../../../domain/find-answer-framing/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {bytesPerKibibyte, msPerSecond} from '../../../ports/units.js';
import {answerResetCode} from '../create-http-agent/index.js';
import {createSilenceTimer, type SilenceLimit} from './_lib/create-silence-timer.js';

export {type SilenceLimit} from './_lib/create-silence-timer.js';

/** Why a call has no answer. */
export type CallFault = {
	/** `aborted`: the signal of the call aborted. `unreachable`: no byte was offered. `broken`: the call failed after bytes were offered. */
	kind: 'aborted' | 'unreachable' | 'broken';
	message: string;
	/** Whether the server closed the connection after the call was sent. */
	isClosed?: boolean;
	/** Whether the server's address refused the connection, so that no process listens there. */
	isRefused?: boolean;
	/** Whether an aborted call was still waiting for its connection, so that no byte was or will be offered. */
	isUnsent?: boolean;
};

/** Controls the bytes of an answer: pauses and resumes them, or ends the answer. */
export type CallFlow = {
	pause: () => void;
	resume: () => void;
	/** Closes the connection; nothing is reported afterwards. */
	abandon: () => void;
	/** Reads and discards the rest, so that the connection can be reused; a rest that is too long closes it. Nothing is reported afterwards. */
	discard: () => void;
};

/** A whole answer. */
export type AnswerEnd = {framing: AnswerFraming};

export type CallSink = {
	onStart: (status: number, headers: Record<string, string | string[] | undefined>, flow: CallFlow) => void;
	onData: (bytes: Buffer) => void;
	onEnd: (end: AnswerEnd) => void;
	onFault: (fault: CallFault) => void;
};

/**
 * Timeout for a call that its signal already limits in time. A second timer of
 * the same length would race with the signal, so that the fault in the log would
 * differ from one call to the next.
 */
export const limitedBySignal: Milliseconds = 0;

/** Bounds on the rest of an answer that is discarded; above them a new connection costs less. */
const maxDiscardedBytes = 64 * bytesPerKibibyte;
const maxDiscardMs: Milliseconds = msPerSecond;

/** Statuses of HTTP (RFC 9110, 15). */
const isStatus = (status: number): boolean => status >= 100 && status <= 599;

/** Each informational head puts off the timeout of the answer's head. */
const maxInformationalHeads = 16;

export type Call = {
	dispatcher: Pick<Dispatcher, 'dispatch'>;
	origin: string;
	method: Dispatcher.HttpMethod;
	path: string;
	/** Body, sent as JSON. */
	body?: unknown;
	/** Raw body, instead of `body`; an iterable is not read before the call is offered. */
	payload?: Buffer | AsyncIterable<Uint8Array>;
	headers?: Record<string, string | string[]>;
	/** Timeout of the answer's head; {@link limitedBySignal} if the signal of the call is the limit. */
	headersTimeoutMs: Milliseconds;
	/** Maximum time without a byte within the answer; 0 for no limit. */
	idleTimeoutMs: Milliseconds;
	/** Ends a silent answer sooner where that helps; no limit besides `idleTimeoutMs` by default. */
	silence?: SilenceLimit;
	signal?: AbortSignal;
};

/** Error codes that mean that the server closed the connection. */
const closedCodes: ReadonlySet<string | undefined> = new Set(['UND_ERR_SOCKET', 'ECONNRESET', 'EPIPE', answerResetCode]);

/** Reason of the parser for a close before the last chunk of an answer after which the connection was to end; its error has no code. */
const closedReason = 'Invalid EOF state';

/** Messages of answers that their transport ended and that are not whole. */
const brokenAnswers: Readonly<Record<Exclude<AnswerVerdict, 'whole'>, string>> = {
	short: 'the answer has fewer bytes than its head states',
	long: 'the answer has more bytes than its head states',
	'inside-event': 'the stream ended inside an event',
	'no-event': 'the stream ended with its connection before the first event',
};

const isClosing = (error: Error): boolean => closedCodes.has((error as {code?: string}).code) || error.message.includes(closedReason);

const isRefusal = (error: Error): boolean => (error as {code?: string}).code === 'ECONNREFUSED';

function toMessage(error: Error): string {
	const {code} = error as {code?: string};
	return [code, error.message].filter(Boolean).join(': ') || error.name;
}

/**
 * Sends one call and reports its answer to a sink. Exactly one of `onEnd` and
 * `onFault` is called, as the last function, unless the sink abandons or discards
 * the answer.
 *
 * @param call - The call, and its timeouts.
 * @param sink - Receives the answer.
 */
export function dispatchCall(call: Call, sink: CallSink): void {
	const {signal} = call;
	let isOffered = false;
	let isOver = false;
	let stop: ((reason: Error) => void) | undefined;
	let answer: AnswerJudge | undefined;
	let discardTimer: NodeJS.Timeout | undefined;
	let discardedBytes = 0;
	let informationalHeads = 0;

	const end = (report?: () => void): void => {
		if (isOver) {
			return;
		}

		isOver = true;
		silence?.stop();
		signal?.removeEventListener('abort', onAbort);
		report?.();
	};

	const fail = (kind: CallFault['kind'], message: string, {isClosed = false, isRefused = false, isUnsent = false}: Pick<CallFault, 'isClosed' | 'isRefused' | 'isUnsent'> = {}): void => {
		end(() => {
			sink.onFault({
				kind, message, ...(isClosed && {isClosed}), ...(isRefused && {isRefused}), ...(isUnsent && {isUnsent}),
			});
		});
	};

	function onAbort(): void {
		fail('aborted', 'aborted by this process', {isUnsent: !isOffered});
		stop?.(new Error('aborted'));
	}

	const silence = call.silence && createSilenceTimer(call.silence, () => {
		fail('broken', `the server sent nothing for ${call.silence!.afterMs} ms`);
		stop?.(new Error('silent'));
	});

	const toFlow = (controller: Dispatcher.DispatchController): CallFlow => ({
		pause() {
			silence?.stop();
			controller.pause();
		},
		resume() {
			silence?.restart();
			controller.resume();
		},
		abandon() {
			end();
			controller.abort(new Error('abandoned'));
		},
		discard() {
			end();
			discardTimer = setTimeout(() => {
				controller.abort(new Error('the rest of the answer takes too long'));
			}, maxDiscardMs);
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
			// The call was aborted while the connection was being opened: nothing is sent.
			if (isOver) {
				controller.abort(new Error('given up'));
				return;
			}

			// Undici may retry after some socket errors. A call that was offered must not be offered twice, because it could run twice.
			if (isOffered) {
				fail('broken', 'the connection failed after the call was sent', {isClosed: true});
				controller.abort(new Error('sent before'));
				return;
			}

			isOffered = true;
			stop = reason => {
				controller.abort(reason);
			};
		},
		onResponseStart(controller, status, headers) {
			if (isOver) {
				return;
			}

			if (!isStatus(status)) {
				fail('broken', `the server sent the status ${status}, which HTTP has not`);
				controller.abort(new Error('no status of HTTP'));
				return;
			}

			if (status >= 200) {
				answer = createAnswerJudge({method: call.method, status, headers});
				silence?.restart();
				sink.onStart(status, headers, toFlow(controller));
				return;
			}

			informationalHeads++;
			if (informationalHeads > maxInformationalHeads) {
				fail('broken', `the server sent more than ${maxInformationalHeads} informational heads`);
				controller.abort(new Error('too many informational heads'));
			}
		},
		onResponseData(controller, bytes) {
			if (!isOver) {
				answer!.add(bytes);
				silence?.restart();
				sink.onData(bytes);
				return;
			}

			discardedBytes += bytes.length;
			if (discardedBytes > maxDiscardedBytes) {
				controller.abort(new Error('the rest of the answer is too long'));
			}
		},
		onResponseEnd() {
			clearTimeout(discardTimer);
			if (isOver) {
				return;
			}

			const {framing, judge} = answer!;
			const verdict = judge();
			if (verdict === 'whole') {
				end(() => {
					sink.onEnd({framing});
				});
			} else {
				fail('broken', brokenAnswers[verdict], {isClosed: true});
			}
		},
		onResponseError(_, error) {
			clearTimeout(discardTimer);
			fail(isOffered ? 'broken' : 'unreachable', toMessage(error), {isClosed: isOffered && isClosing(error), isRefused: !isOffered && isRefusal(error)});
		},
	});
}
