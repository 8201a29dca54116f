import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {fleets, toScenarios} from './_test/scenarios.js';
import {simulateStreams} from './_test/simulate-streams.js';
import {keepersStrategy, otherStrategies} from './_test/strategies.js';

/** Share of the streams that go on, promised for hosts in touch while two servers of the version serve; new streams all begin here. */
const minShare = 0.5;
/** Number of streams from which on the promise holds. */
const minResumed = 12;

const modelFleets = fleets.filter(({hosts}) => hosts < 400);

// Guards against streams that are joined from two software versions, and against refusals of streams that hosts in touch could continue.
describe('origins of streams, in virtual time', {timeout: 300_000}, () => {
	for (const fleet of modelFleets) {
		for (const scenario of toScenarios(fleet)) {
			for (const seed of [1, 2]) {
				it(`join no stream and let streams go on at ${fleet.hosts} hosts, seed ${seed}: ${scenario.name}`, context => {
					const result = simulateStreams(scenario, keepersStrategy, {seed});
					context.diagnostic(`${result.wentOn} of ${result.resumed} went on in touch, ${result.wentOnAnywhere} of ${result.resumedAnywhere} anywhere`);
					assert.equal(result.joined, 0);
					assert.ok(result.resumed < minResumed || result.wentOn >= result.resumed * minShare, `${result.wentOn} of ${result.resumed}`);
				});
			}
		}
	}

	it('are needed: callers hold joined streams if any server may continue them', () => {
		const guess = otherStrategies.find(({name}) => name === 'any server')!;
		const result = simulateStreams(toScenarios(fleets[0]!)[0]!, guess, {seed: 1});
		assert.ok(result.joined > 2, `${result.joined} joined`);
	});
});
