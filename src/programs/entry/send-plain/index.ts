/**
 * One call of a plain service: sends the caller's body and relays the answer. A
 * short answer is relayed once it is complete, a longer one as it arrives.
 */
import {type Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';
import {
	dispatchCall, type AnswerEnd, type CallFault, type CallFlow, type SilenceLimit,
} from '../../../adapters/_lib/dispatch-call/index.js';
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {toForwardHeaders} from '../../../domain/to-forward-headers/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type EngineRefusalReason} from '../../../ports/engine.js';
import {type AnswerHeaders} from '../../../ports/server-calls.js';
import {originHeader, outcomeHeader} from '../_lib/passed-headers.js';
import {createEventRelay, type RelayedEvents} from './_lib/create-event-relay.js';
import {createRelay} from './_lib/create-relay.js';

export {type RelayedEvents} from './_lib/create-event-relay.js';

/** Why a call brought no answer to relay; `refused` means that the server itself reported that it did not run the request; its connection may be used again unless `isReusable` is `false`. */
export type PlainFault =
	| CallFault
	| {kind: 'refused'; reason: EngineRefusalReason; message: string; isReusable?: boolean}
	/** The server ran the request and reported a failure; the answer was not relayed, because another server is to be tried. */
	| {kind: 'failed-answer'; message: string}
	| {kind: 'invalid'; message: string}
	/** Another host, to which the request was passed on, did not run it. */
	| {kind: 'not-run'; message: string};

export type PlainEnd =
	| {kind: 'complete'; status: number; answer: AnswerEnd}
	/** No byte of the answer has been relayed; `unreachable` means that no byte of the call was offered either. */
	| {kind: 'failed'; fault: PlainFault}
	/** The answer broke after a part of it was relayed. */
	| {kind: 'cut'; fault: PlainFault}
	/** `isUnsent`: no byte of the call was offered to the server. */
	| {kind: 'caller-gone'; isUnsent?: boolean};

export type PlainCall = {
	exchange: CallerExchange;
	dispatcher: Pick<Dispatcher, 'dispatch'>;
	/** URL of the server, or of the host that passes the request on to one. */
	url: string;
	headers: Record<string, string | string[]>;
	payload: Buffer | AsyncIterable<Uint8Array> | undefined;
	signal: AbortSignal;
	/** Timeout of the answer's head. */
	headersTimeoutMs: Milliseconds;
	/** Idle timeout within the answer, and of a caller that does not read. */
	idleTimeoutMs: Milliseconds;
	/** Ends a silent answer sooner where that helps. */
	silence?: SilenceLimit;
	/** Present if another server may continue a broken answer; only complete events are relayed then. */
	events?: RelayedEvents | undefined;
	/** Called once, before the first event is relayed. */
	onEvents?: () => void;
	/** Headers added to the answer's. */
	addedHeaders?: Record<string, string>;
	/** Checks the answer's head; a fault ends the call, and nothing of the answer is relayed. */
	checkHead?: (status: number, headers: AnswerHeaders) => PlainFault | undefined;
	/** Called with the status once the head is accepted. */
	onStart: (status: number) => void;
};

/**
 * Ends a call whose answer is not relayed. The rest of a refusal is short and is
 * read, so that the connection can be reused. After an invalid answer, such as one
 * to another request, the connection is closed, as its next answer may be wrong too;
 * after a refusal that names no request, as a copy of it would refuse the next one.
 */
function rejectAnswer(fault: PlainFault, flow: CallFlow, resolve: (end: PlainEnd) => void): void {
	if (fault.kind === 'invalid' || (fault.kind === 'refused' && fault.isReusable === false)) {
		flow.abandon();
	} else {
		flow.discard();
	}

	resolve({kind: 'failed', fault});
}

/**
 * Sends the call and relays the answer.
 *
 * @param call - Server, content and timeouts of the call.
 * @returns How the call ended; after `failed` nothing was sent to the caller.
 */
export async function sendPlain(call: PlainCall): Promise<PlainEnd> {
	const {exchange, url, signal} = call;
	return new Promise(resolve => {
		let status = 0;
		let flow: CallFlow | undefined;
		const {events} = call;
		const relay = events === undefined ? createRelay(call) : createEventRelay({...call, events});
		dispatchCall({
			dispatcher: call.dispatcher,
			origin: url,
			method: exchange.method,
			path: exchange.target,
			headers: call.headers,
			...(call.payload !== undefined && {payload: call.payload}),
			headersTimeoutMs: call.headersTimeoutMs,
			idleTimeoutMs: call.idleTimeoutMs,
			...(call.silence && {silence: call.silence}),
			signal,
		}, {
			onStart(answerStatus, headers, answerFlow) {
				flow = answerFlow;
				const fault = call.checkHead?.(answerStatus, headers);
				if (fault !== undefined) {
					rejectAnswer(fault, answerFlow, resolve);
					return;
				}

				status = answerStatus;
				call.onStart(status);
				relay.start(status, {...toForwardHeaders(headers, {drop: ['x-request-id', outcomeHeader, originHeader]}), ...call.addedHeaders}, answerFlow);
			},
			onData(bytes) {
				const message = relay.write(bytes);
				if (message !== undefined) {
					flow?.abandon();
					resolve({kind: relay.hasBegun() ? 'cut' : 'failed', fault: {kind: 'invalid', message}});
				}
			},
			onEnd(answer) {
				relay.end();
				resolve({kind: 'complete', status, answer});
			},
			onFault(fault) {
				if (fault.kind === 'aborted' && exchange.disconnectSignal.aborted) {
					resolve({kind: 'caller-gone', ...(fault.isUnsent && {isUnsent: true})});
				} else {
					resolve({kind: relay.hasBegun() ? 'cut' : 'failed', fault});
				}
			},
		});
	});
}
