/** Simulates a split pool under bursts of long answers, with the decision functions of the product. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../../bench/_lib/create-random.js';
import {simulate, type Outcome, type Scenario} from '../../bench/split-pool/_lib/simulate.js';

const seeds = [48_271, 69_621, 630_360, 742_938, 950_706];

/** Simulates a scenario with each seed and returns means, because the bursts of a single seed may favour either split. */
function simulateMean(over: Partial<Scenario>): Pick<Outcome, 'inTime' | 'late' | 'refused' | 'promptP90Ms' | 'learntShare'> {
	const outcomes = seeds.map(seed => simulate({
		prefills: 2, decodes: 4, hosts: 7, perSecond: 7.3, burst: 1.8, seconds: 30, isShared: true, memoryTokens: 42_606, slots: 128, ...over,
	}, createRandom(seed)));
	const mean = (read: (outcome: Outcome) => number): number => outcomes.reduce((sum, outcome) => sum + read(outcome), 0) / outcomes.length;
	return {
		inTime: mean(outcome => outcome.inTime),
		late: mean(outcome => outcome.late),
		refused: mean(outcome => outcome.refused),
		promptP90Ms: mean(outcome => outcome.promptP90Ms),
		learntShare: mean(outcome => outcome.learntShare),
	};
}

/*
 * Six servers receive 7.3 requests a second, and nearly twice as many for four
 * seconds in ten. A prompt takes 0.1 s of a server; its answer takes a tenth of a
 * server for 3.5 s. With half of the servers for prefill, decode memory fills in
 * each burst, and callers are refused, retry, and are refused again.
 */
describe('a pool of six under bursts', () => {
	it('serves more in time and refuses fewer with two prefill servers than with three', () => {
		const two = simulateMean({prefills: 2, decodes: 4});
		const three = simulateMean({prefills: 3, decodes: 3});
		assert.ok(two.inTime > three.inTime + 0.08, `${two.inTime} ${three.inTime}`);
		assert.ok(two.refused < three.refused / 2, `${two.refused} ${three.refused}`);
	});

	it('keeps prompt times short with one prefill server if hosts share their loads', () => {
		const shared = simulateMean({prefills: 1, decodes: 5});
		const unshared = simulateMean({prefills: 1, decodes: 5, isShared: false});
		assert.ok(shared.promptP90Ms < unshared.promptP90Ms * 0.7, `${shared.promptP90Ms} ${unshared.promptP90Ms}`);
		assert.ok(shared.inTime > unshared.inTime, `${shared.inTime} ${unshared.inTime}`);
	});

	it('learns a split with two prefill servers from three', () => {
		const {learntShare} = simulateMean({prefills: 3, decodes: 3});
		assert.equal(Math.ceil(6 * learntShare), 2, String(learntShare));
	});

	it('counts each request in exactly one outcome', () => {
		const {inTime, late, refused} = simulateMean({});
		assert.ok(Math.abs(inTime + late + refused - 1) < 1e-9);
	});
});

/*
 * Thirteen servers of twelve slots each receive 12.7 requests a second in total, and
 * twice as many for four seconds in ten. Five prefill servers are idle two thirds of
 * the time, while callers in each burst are refused because decode memory is full.
 */
describe('a pool of thirteen under bursts', () => {
	const thirteen: Partial<Scenario> = {
		memoryTokens: 33_466, slots: 12, hosts: 6, perSecond: 12.7, burst: 2.1,
	};

	it('learns a split with four prefill servers from five, which serves more in time and refuses fewer', () => {
		const five = simulateMean({...thirteen, prefills: 5, decodes: 8});
		const four = simulateMean({...thirteen, prefills: 4, decodes: 9});
		assert.equal(Math.ceil(13 * five.learntShare), 4, String(five.learntShare));
		assert.equal(Math.ceil(13 * four.learntShare), 4, String(four.learntShare));
		assert.ok(four.inTime > five.inTime + 0.03, `${four.inTime} ${five.inTime}`);
		assert.ok(four.refused < five.refused / 2, `${four.refused} ${five.refused}`);
	});
});
