import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {withFixture} from './_lib/caller-faults.js';
import {send, toBody} from './_lib/caller-fixture.js';

/*
 * The reports show room, and every decode server that is asked is full: the
 * request is bounced again and again. It must hear of its miss when its target
 * has passed and not when a pause between two tries is over. With chance at its
 * upper end, doubling pauses would end at 1.6 and 3.2 s.
 */
describe('callers: every server turns out to be full', () => {
	it('tells at the first-token target that it is missed, with the time to come back', async () => withFixture({random: () => 0.999}, async fixture => {
		for (const decode of fixture.decodes) {
			decode.setFaults({refuse: {reason: 'full', on: ['reservations']}});
		}

		const startedAt = performance.now();
		const answer = await send(fixture, '/v1/completions', {headers: {'x-kind': 'patient'}, body: toBody({stream: true})});
		const tookMs = performance.now() - startedAt;
		assert.match((JSON.parse(answer.text) as {type: string}).type, /target-missed/v);
		assert.notEqual(answer.headers['retry-after'], undefined);
		assert.ok(tookMs < 2900, `told after ${Math.round(tookMs)} ms, with a target of 2,000 ms`);
	}));
});
