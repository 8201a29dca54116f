import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {toServer, toStatus} from '../create-placement/_lib/fixtures.js';
import {createLoadEstimate} from './index.js';

const decode = toServer('d1', 'decode');
const prefill = toServer('p1', 'prefill');

describe('createLoadEstimate', () => {
	it('adds to a report only the changes that this host made after the report was taken', () => {
		const loads = createLoadEstimate();
		loads.addSlots('d1', 1, 900);
		loads.addSlots('d1', 1, 1100);
		assert.equal(loads.read(decode, toStatus(decode, 1000, {slotsUsed: 7}), 1200).slotsUsed, 8);
		assert.equal(loads.read(decode, toStatus(decode, 1150, {slotsUsed: 8}), 1200).slotsUsed, 8);
	});

	it('never estimates less than this host\'s own requests', () => {
		const loads = createLoadEstimate();
		loads.addSlots('d1', 5, 900);
		assert.equal(loads.read(decode, toStatus(decode, 1000, {slotsUsed: 2}), 1100).slotsUsed, 5);
	});

	it('assumes the usual rate of its role for a server that has never reported', () => {
		const loads = createLoadEstimate({tokensPerSecond: 9000, streamTokensPerSecond: 40});
		assert.equal(loads.read(prefill, undefined, 0).tokensPerSecond, 9000);
		assert.equal(loads.read(decode, undefined, 0).tokensPerSecond, 40);
	});

	it('drains the backlog at the reported rate and replays later prompts on top of it', () => {
		const loads = createLoadEstimate();
		const status = toStatus(prefill, 1000, {queuedTokens: 4000, tokensPerSecond: 8000});
		assert.equal(loads.read(prefill, status, 1250).backlogTokens, 2000);
		loads.addPrefill('p1', 1000, 1250);
		assert.equal(loads.read(prefill, status, 1250).backlogTokens, 3000);
		assert.equal(loads.read(prefill, toStatus(prefill, 1200, {queuedTokens: 800}), 1250).backlogTokens, 400 + 1000);
	});

	it('keeps half of an own prompt in the backlog of a server that is slower than reported', () => {
		const loads = createLoadEstimate();
		loads.addPrefill('p1', 1000, 0);
		assert.equal(loads.read(prefill, toStatus(prefill, 0), 60_000).backlogTokens, 500);
		loads.removePrefill('p1', 1000);
		assert.equal(loads.read(prefill, toStatus(prefill, 0), 60_000).backlogTokens, 0);
	});

	it('removes a cancelled prompt, even if an earlier report still counts it', () => {
		const loads = createLoadEstimate();
		loads.addPrefill('p1', 27_500, 1000);
		const counting = toStatus(prefill, 1200, {queuedTokens: 27_500, tokensPerSecond: 8000});
		assert.equal(loads.read(prefill, counting, 1300).backlogTokens, 27_500 - 800);
		loads.dropPrefill('p1', 27_500, 1300);
		assert.equal(loads.read(prefill, counting, 1300).backlogTokens, 0);
		assert.equal(loads.read(prefill, toStatus(prefill, 1250, {queuedTokens: 28_500, tokensPerSecond: 8000}), 1300).backlogTokens, 1000 - 400);
		loads.addPrefill('p1', 500, 1300);
		assert.equal(loads.read(prefill, toStatus(prefill, 1260, {queuedTokens: 27_500, tokensPerSecond: 8000}), 1300).backlogTokens, 500);
	});

	it('treats a server as full after it refused, until a later report or the end of a request that held a slot', () => {
		const loads = createLoadEstimate();
		const status = toStatus(decode, 1000, {slotsUsed: 3});
		loads.addSlots('d1', 1, 1010);
		loads.noteFull('d1', 1100);
		assert.equal(loads.read(decode, status, 1200).slotsUsed, 20);
		assert.equal(loads.read(decode, toStatus(decode, 1150, {slotsUsed: 19}), 1200).slotsUsed, 19);
		loads.noteFull('d1', 1300);
		loads.addSlots('d1', -1, 1400);
		assert.equal(loads.read(decode, status, 1450).slotsUsed, 20);
		loads.noteFreed('d1');
		assert.ok(loads.read(decode, toStatus(decode, 1150, {slotsUsed: 19}), 1500).slotsUsed < 20);
	});

	it('falls back to its own count once a report is stale', () => {
		const loads = createLoadEstimate({staleAfterMs: 5000});
		loads.addSlots('d1', 2, 0);
		const load = loads.read(decode, toStatus(decode, 0, {slotsUsed: 20}), 5001);
		assert.equal(load.isUnknown, true);
		assert.equal(load.slotsUsed, 2);
	});

	it('equals the exact count with lagging reports when no other host sends requests (property)', () => {
		const step = fc.record({isArrival: fc.boolean(), lagMs: fc.nat(1500)});
		fc.assert(fc.property(fc.array(step, {maxLength: 100}), steps => {
			const loads = createLoadEstimate();
			const history = [0];
			let used = 0;
			let reportAt = 0;
			for (const [i, {isArrival, lagMs}] of steps.entries()) {
				const now = (i + 1) * 100;
				const change = isArrival ? 1 : -Math.min(1, used);
				used += change;
				loads.addSlots('d1', change, now);
				history.push(used);
				reportAt = Math.max(reportAt, now - (Math.floor(lagMs / 100) * 100), 0);
				const status = toStatus(decode, reportAt, {slotsUsed: history[reportAt / 100]!});
				assert.equal(loads.read(decode, status, now).slotsUsed, used);
			}
		}));
	});
});
