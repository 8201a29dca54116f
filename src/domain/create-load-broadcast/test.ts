import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {toHash32} from '../../_lib/to-hash32/index.js';
import {type LoadReport} from '../../ports/engine.js';
import {createLoadBroadcast, decodeLoads} from './index.js';

const load: LoadReport = {
	server: 's1', role: 'decode', model: 'm', version: '1', adapters: [],
	state: 'serving',
	ageMs: 0,
	slotsTotal: 20, slotsUsed: 7, queued: 3, queuedTokens: 12_345, tokensPerSecond: 31, linkBytesPerSecond: 1_000_000_000, fence: 4,
};
const findServer = (hash: number) => hash === toHash32('s1') ? 's1' : undefined;

describe('createLoadBroadcast', () => {
	it('sends changes as soon as the budget allows, and unchanged servers at intervals', () => {
		const broadcast = createLoadBroadcast({bytesPerSecond: 1000});
		assert.equal(broadcast.takeDue(4, 0), undefined, 'no server is polled');
		broadcast.notePolled(load, 0);
		assert.equal(broadcast.takeDue(4, 10)?.length, 15);
		broadcast.notePolled({...load, slotsUsed: 8}, 100);
		assert.equal(broadcast.takeDue(4, 100), undefined, 'the budget is spent');
		assert.equal(broadcast.takeDue(4, 1000)?.length, 15);
		assert.equal(broadcast.takeDue(4, 2000), undefined, 'nothing changed');
		assert.equal(broadcast.takeDue(4, 5000)?.length, 15, 'the age is sent again');
		assert.equal(broadcast.takeDue(0, 50_000), undefined, 'there are no receivers');
	});

	it('stays within its bandwidth budget for any number of receivers (property)', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 100}), fc.integer({min: 1, max: 30}), (receivers, servers) => {
			const broadcast = createLoadBroadcast({bytesPerSecond: 3000});
			let sent = 0;
			for (let now = 0; now < 60_000; now += 100) {
				for (let i = 0; i < servers; i++) {
					broadcast.notePolled({...load, server: `s${i}`, slotsUsed: now / 100}, now);
				}

				sent += ((broadcast.takeDue(receivers, now)?.length ?? -140) + 140) * receivers;
			}

			assert.ok(sent / 60 <= 3000 * 1.5, `${sent / 60} bytes a second`);
		}), {numRuns: 20});
	});
});

describe('decodeLoads', () => {
	function receive(known: LoadReport | undefined) {
		const broadcast = createLoadBroadcast();
		broadcast.notePolled(load, 1000);
		return decodeLoads(broadcast.takeDue(1, 1200)!, findServer, () => known);
	}

	it('decodes numbers and their age approximately', () => {
		const {loads} = receive({...load, slotsUsed: 0, queued: 0});
		assert.deepEqual([loads[0]!.slotsUsed, loads[0]!.queued, loads[0]!.ageMs, loads[0]!.state], [7, 3, 200, 'serving']);
		assert.ok(Math.abs(loads[0]!.queuedTokens - load.queuedTokens) < 0.07 * load.queuedTokens);
	});

	it('requests a report that is unknown, or that differs in the part that is not sent', () => {
		assert.deepEqual(receive(undefined).wanted, [toHash32('s1')]);
		assert.deepEqual(receive({...load, version: '2'}).wanted, [toHash32('s1')]);
	});

	it('returns the time since the polls started that did not reach a server', () => {
		const broadcast = createLoadBroadcast();
		broadcast.notePolled(load, 1000);
		broadcast.noteUnreachable('s1', 4000);
		assert.deepEqual(decodeLoads(broadcast.takeDue(1, 5000)!, findServer, () => load).unreachable, [{server: 's1', ageMs: 1000}]);
	});

	it('decodes any bytes without an error (property)', () => {
		fc.assert(fc.property(fc.uint8Array({maxLength: 100}), bytes => {
			decodeLoads(bytes, () => 's1', () => load);
		}));
	});
});
