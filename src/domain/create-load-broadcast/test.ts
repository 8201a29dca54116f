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
	it('sends what changed, at once when it may, and the unchanged seldom', () => {
		const spread = createLoadBroadcast({bytesPerSecond: 1000});
		assert.equal(spread.takeDue(4, 0), undefined, 'nothing is polled');
		spread.notePolled(load, 0);
		assert.equal(spread.takeDue(4, 10)?.length, 15);
		spread.notePolled({...load, slotsUsed: 8}, 100);
		assert.equal(spread.takeDue(4, 100), undefined, 'the budget is spent');
		assert.equal(spread.takeDue(4, 1000)?.length, 15);
		assert.equal(spread.takeDue(4, 2000), undefined, 'nothing changed');
		assert.equal(spread.takeDue(4, 5000)?.length, 15, 'its age is told again');
		assert.equal(spread.takeDue(0, 50_000), undefined, 'nobody is there');
	});

	it('keeps within its bytes a second whatever the number of receivers', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 100}), fc.integer({min: 1, max: 30}), (receivers, servers) => {
			const spread = createLoadBroadcast({bytesPerSecond: 3000});
			let sent = 0;
			for (let now = 0; now < 60_000; now += 100) {
				for (let i = 0; i < servers; i++) {
					spread.notePolled({...load, server: `s${i}`, slotsUsed: now / 100}, now);
				}

				sent += ((spread.takeDue(receivers, now)?.length ?? -140) + 140) * receivers;
			}

			assert.ok(sent / 60 <= 3000 * 1.5, `${sent / 60} bytes a second`);
		}), {numRuns: 20});
	});
});

describe('decodeLoads', () => {
	function receive(known: LoadReport | undefined) {
		const spread = createLoadBroadcast();
		spread.notePolled(load, 1000);
		return decodeLoads(spread.takeDue(1, 1200)!, findServer, () => known);
	}

	it('brings numbers and their age over, roughly', () => {
		const {loads} = receive({...load, slotsUsed: 0, queued: 0});
		assert.deepEqual([loads[0]!.slotsUsed, loads[0]!.queued, loads[0]!.ageMs, loads[0]!.state], [7, 3, 200, 'serving']);
		assert.ok(Math.abs(loads[0]!.queuedTokens - load.queuedTokens) < 0.07 * load.queuedTokens);
	});

	it('asks for a report that is not known, or that differs in what is not sent', () => {
		assert.deepEqual(receive(undefined).wanted, [toHash32('s1')]);
		assert.deepEqual(receive({...load, version: '2'}).wanted, [toHash32('s1')]);
	});

	it('tells how long ago the polls began that did not reach a server', () => {
		const spread = createLoadBroadcast();
		spread.notePolled(load, 1000);
		spread.noteUnreachable('s1', 4000);
		assert.deepEqual(decodeLoads(spread.takeDue(1, 5000)!, findServer, () => load).unreachable, [{server: 's1', ageMs: 1000}]);
	});

	it('reads any bytes', () => {
		fc.assert(fc.property(fc.uint8Array({maxLength: 100}), bytes => {
			decodeLoads(bytes, () => 's1', () => load);
		}));
	});
});
