import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createCaller} from './_test/create-caller.js';
import {createEventRelay, type RelayedEvents} from './_lib/create-event-relay.js';

const flow = {
	pause: () => undefined, resume: () => undefined, abandon: () => undefined, discard: () => undefined,
};

const toEvent = (id: number): string => `id: ${id}\ndata: pièce ${id}\n\n`;

/*
 * The caller sees one stream, whose first server breaks off at any byte and whose
 * second server continues after the last relayed event. The test guards against
 * events that are lost, repeated or joined from parts of two events.
 */
describe('createEventRelay', () => {
	it('joins a stream that breaks at any byte and arrives in chunks of any size', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 12}), fc.double({min: 0, max: 1, noNaN: true}), fc.array(fc.integer({min: 1, max: 40}), {minLength: 1, maxLength: 20}), (count, cut, sizes) => {
			const caller = createCaller();
			const events: RelayedEvents = {hasBegun: false, lastId: undefined};
			const open = () => createEventRelay({exchange: caller.exchange, idleTimeoutMs: 1000, events});
			const feed = (relay: ReturnType<typeof open>, bytes: Buffer) => {
				relay.start(200, {}, flow);
				for (let at = 0, i = 0; at < bytes.length; i++) {
					const size = sizes[i % sizes.length]!;
					relay.write(bytes.subarray(at, at + size));
					at += size;
				}
			};

			const ids = Array.from({length: count}, (_, i) => i + 1);
			const first = Buffer.from(ids.map(id => toEvent(id)).join(''));
			feed(open(), first.subarray(0, Math.floor(first.length * cut)));
			const relay = open();
			feed(relay, Buffer.from(ids.filter(id => id > Number(events.lastId ?? 0)).map(id => toEvent(id)).join('')));
			relay.end();
			assert.equal(caller.toText(), first.toString('utf8'));
			assert.equal(caller.heads(), 1);
			assert.ok(caller.hasEnded());
		}));
	});

	it('relays the rest after the last complete event when the server ends normally', () => {
		const caller = createCaller();
		const relay = createEventRelay({exchange: caller.exchange, idleTimeoutMs: 1000, events: {hasBegun: false, lastId: undefined}});
		relay.start(200, {}, flow);
		relay.write(Buffer.from('id: 1\ndata: x\n\n: bye'));
		relay.end();
		assert.equal(caller.toText(), 'id: 1\ndata: x\n\n: bye');
	});

	// Guards against a stream that is bound to a server which was lost before the caller had any event of it.
	it('sends no head before the first whole event, so that another server may begin the stream', () => {
		const caller = createCaller();
		const events: RelayedEvents = {hasBegun: false, lastId: undefined};
		const begun: string[] = [];
		const open = (server: string) => createEventRelay({
			exchange: caller.exchange, idleTimeoutMs: 1000, events, onEvents() {
				assert.equal(events.hasBegun, begun.length > 0);
				begun.push(server);
			},
		});
		const lost = open('first');
		lost.start(200, {}, flow);
		lost.write(Buffer.from('id: 1\ndata: x'));
		assert.equal(caller.heads(), 0);
		assert.equal(lost.hasBegun(), false);
		const next = open('second');
		next.start(200, {}, flow);
		next.write(Buffer.from(toEvent(1)));
		next.write(Buffer.from(toEvent(2)));
		next.end();
		assert.deepEqual(begun, ['second']);
		assert.equal(caller.heads(), 1);
		assert.equal(caller.toText(), toEvent(1) + toEvent(2));
	});

	for (const [status, body] of [[404, ''], [404, 'none here'], [500, 'failed\n\n'], [200, '']] as const) {
		it(`relays an answer with status ${status} and ${body.length} bytes as it is, which begins no stream`, () => {
			const caller = createCaller();
			const relay = createEventRelay({
				exchange: caller.exchange, idleTimeoutMs: 1000, events: {hasBegun: false, lastId: undefined}, onEvents() {
					assert.fail('the answer counts as the beginning of a stream');
				},
			});
			relay.start(status, {}, flow);
			relay.write(Buffer.from(body));
			relay.end();
			assert.equal(caller.heads(), 1);
			assert.equal(caller.toText(), body);
			assert.ok(caller.hasEnded());
		});
	}
});
