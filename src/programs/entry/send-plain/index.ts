/**
 * One call of a plain service: the caller's body out, the service's answer back.
 * A short answer goes out once it is whole, a longer one as it comes.
 */
import {type Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';
import {dispatchCall, type CallFault} from '../../../adapters/_lib/dispatch-call/index.js';
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {toForwardHeaders} from '../../../domain/to-forward-headers/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {createRelay} from './_lib/create-relay.js';

export type PlainEnd =
	| {kind: 'complete'; status: number}
	/** No byte of the answer has been relayed; `unreachable` means that no byte of the call was offered either. */
	| {kind: 'failed'; fault: CallFault}
	/** The answer broke after a part of it was relayed. */
	| {kind: 'cut'; fault: CallFault}
	| {kind: 'caller-gone'};

export type PlainSend = {
	exchange: CallerExchange;
	dispatcher: Dispatcher;
	server: ServerEntry;
	headers: Record<string, string | string[]>;
	payload: Buffer | AsyncIterable<Uint8Array> | undefined;
	signal: AbortSignal;
	/** Limit of the wait for the answer's head. */
	headersTimeoutMs: Milliseconds;
	/** Limit of silence within the answer, and of a caller that does not read. */
	idleTimeoutMs: Milliseconds;
	/** Told of the answer's head, with its status. */
	onStart: (status: number) => void;
};

/**
 * Sends the call and relays the answer.
 *
 * @param send - Where, what, and the limits.
 * @returns How it ended. After `failed` nothing was sent to the caller.
 */
export async function sendPlain(send: PlainSend): Promise<PlainEnd> {
	const {exchange, server, signal} = send;
	return new Promise(resolve => {
		let status = 0;
		const relay = createRelay(send);
		dispatchCall({
			dispatcher: send.dispatcher,
			origin: server.url,
			method: exchange.method,
			path: exchange.target,
			headers: send.headers,
			...(send.payload !== undefined && {payload: send.payload}),
			headersTimeoutMs: send.headersTimeoutMs,
			idleTimeoutMs: send.idleTimeoutMs,
			signal,
		}, {
			onStart(answerStatus, headers, flow) {
				status = answerStatus;
				send.onStart(status);
				relay.start(status, toForwardHeaders(headers, {drop: ['x-request-id']}), flow);
			},
			onData: relay.write,
			onEnd() {
				relay.end();
				resolve({kind: 'complete', status});
			},
			onFault(fault) {
				if (fault.kind === 'aborted' && exchange.gone.aborted) {
					resolve({kind: 'caller-gone'});
				} else {
					resolve({kind: relay.hasBegun() ? 'cut' : 'failed', fault});
				}
			},
		});
	});
}
