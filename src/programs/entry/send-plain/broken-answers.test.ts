import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type Dispatcher} from 'undici';
import {createCaller} from './_test/create-caller.js';
import {sendPlain, type PlainEnd, type RelayedEvents} from './index.js';

type Framing = 'length' | 'chunks' | 'connection';

/** How a server ends its answer: after its last byte, or after a part of it by one of the other ways. */
type Ending = {kind: 'whole' | 'closed' | 'reset' | 'silent'; sentShare: number};

const toEvent = (id: number): string => `id: ${id}\ndata: pièce ${id}\n\n`;

function toHead(framing: Framing, length: number): Record<string, string> {
	const type = {'content-type': 'text/event-stream'};
	if (framing === 'connection') {
		return type;
	}

	return {...type, ...(framing === 'length' ? {'content-length': String(length)} : {'transfer-encoding': 'chunked'})};
}

/** The error with which undici reports an ending; none for an orderly end of a body that ends with its connection. */
function toError(kind: Ending['kind'], framing: Framing): Error | undefined {
	const codes = {closed: 'UND_ERR_SOCKET', reset: 'ECONNRESET', silent: 'UND_ERR_BODY_TIMEOUT'};
	return kind === 'whole' || (kind === 'closed' && framing === 'connection') ? undefined : Object.assign(new Error(kind), {code: codes[kind]});
}

/** A server that sends one answer, in pieces, and ends it. */
function createDispatcher(body: Buffer, {framing, ending, pieceBytes}: {framing: Framing; ending: Ending; pieceBytes: number}): Dispatcher {
	const sent = ending.kind === 'whole' ? body : body.subarray(0, Math.floor(body.length * ending.sentShare));
	return {
		dispatch(_: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler) {
			const controller = {abort: () => undefined, pause: () => undefined, resume: () => undefined} as unknown as Dispatcher.DispatchController;
			handler.onRequestStart!(controller, undefined);
			handler.onResponseStart!(controller, 200, toHead(framing, body.length));
			for (let at = 0; at < sent.length; at += pieceBytes) {
				handler.onResponseData!(controller, sent.subarray(at, at + pieceBytes));
			}

			const error = toError(ending.kind, framing);
			if (error === undefined) {
				handler.onResponseEnd!(controller, {});
			} else {
				handler.onResponseError!(controller, error);
			}

			return true;
		},
	} as unknown as Dispatcher;
}

const endings: fc.Arbitrary<Ending> = fc.record({kind: fc.constantFrom('whole', 'closed', 'reset', 'silent'), sentShare: fc.double({min: 0, max: 0.999, noNaN: true})});
const attempts = fc.array(fc.record({framing: fc.constantFrom<Framing>('length', 'chunks', 'connection'), ending: endings, pieceBytes: fc.integer({min: 1, max: 50})}), {minLength: 1, maxLength: 4});

/** Whether the server closed the connection in order after a whole event, which nothing tells from the end. */
const isCutBetweenEvents = (text: string, framing: Framing, {kind}: Ending): boolean => kind === 'closed' && framing === 'connection' && text.endsWith('\n\n');

/*
 * Guards against a truncated answer that its caller receives as complete: servers
 * break off at any byte, in each framing, one after the other.
 */
describe('sendPlain, with servers that break off', () => {
	for (const isResumable of [true, false]) {
		it(`ends ${isResumable ? 'a stream that other servers continue' : 'an answer of one server'} as complete only if it is whole`, async () => {
			await fc.assert(fc.asyncProperty(fc.integer({min: 1, max: 8}), attempts, async (count, planned) => {
				const caller = createCaller();
				const events: RelayedEvents = {hasBegun: false, lastId: undefined};
				const whole = Array.from({length: count}, (_, i) => toEvent(i + 1)).join('');
				let ended: PlainEnd | undefined;
				for (const plan of isResumable ? planned : planned.slice(0, 1)) {
					const from = Number(events.lastId ?? 0);
					const body = Buffer.from(Array.from({length: count - from}, (_, i) => toEvent(from + i + 1)).join(''));
					ended = await sendPlain({
						exchange: caller.exchange, dispatcher: createDispatcher(body, plan), url: 'http://10.0.0.1', headers: {}, payload: undefined, signal: new AbortController().signal, headersTimeoutMs: 1000, idleTimeoutMs: 1000, onStart: () => undefined, ...(isResumable && {events}),
					});
					if (ended.kind === 'complete') {
						assert.ok(caller.toText() === whole || isCutBetweenEvents(caller.toText(), plan.framing, plan.ending));
						break;
					}
				}

				assert.equal(caller.hasEnded(), ended?.kind === 'complete');
				assert.ok(whole.startsWith(caller.toText().replace(/\uFFFD+$/v, '')));
			}), {numRuns: 500});
		});
	}
});

// Guards against a server whose event never ends: a host would keep and search all of it, and its other requests would wait.
describe('sendPlain, with an event that does not end', () => {
	for (const [what, start, kind] of [['of a stream that has not begun', '', 'failed'], ['after another event', toEvent(1), 'cut']] as const) {
		it(`ends the call: ${what}`, async () => {
			const caller = createCaller();
			const body = Buffer.concat([Buffer.from(start), Buffer.alloc(8 * 1024 * 1024, 'x')]);
			let sentBytes = 0;
			const aborted = new AbortController();
			const dispatcher = {
				dispatch(_: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler) {
					const controller = {
						abort() {
							aborted.abort();
						},
					} as unknown as Dispatcher.DispatchController;
					handler.onRequestStart!(controller, undefined);
					handler.onResponseStart!(controller, 200, toHead('chunks', 0));
					for (; sentBytes < body.length && !aborted.signal.aborted; sentBytes += 1024) {
						handler.onResponseData!(controller, body.subarray(sentBytes, sentBytes + 1024));
					}

					return true;
				},
			} as unknown as Dispatcher;
			const ended = await sendPlain({
				exchange: caller.exchange, dispatcher, url: 'http://10.0.0.1', headers: {}, payload: undefined, signal: new AbortController().signal, headersTimeoutMs: 1000, idleTimeoutMs: 1000, onStart: () => undefined, events: {hasBegun: false, lastId: undefined},
			});
			assert.deepEqual({kind: ended.kind, fault: ended.kind === 'complete' || ended.kind === 'caller-gone' ? undefined : ended.fault.kind}, {kind, fault: 'invalid'});
			assert.ok(sentBytes <= 2 * 1024 * 1024, `${sentBytes} bytes were read`);
			assert.equal(caller.toText(), start);
		});
	}
});
