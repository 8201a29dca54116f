import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toSeededRandom} from '../create-placement/_lib/fixtures.js';
import {playCrowd, toSecondsUntilServed, type CrowdOptions} from './_test/play-crowd.js';

const awaySeconds = 3;

/** Time in which a quarter must be served again after the hosts are back. */
const recoverySeconds = 15;

const course: Omit<CrowdOptions, 'hosts' | 'random'> = {
	policy: 'by-queue', perSecond: 60, awayMs: awaySeconds * 1000, lengthMs: 30_000,
};

// Guards against hosts that come back into a crowd and never catch up, because they work for callers who have left.
describe('hosts that come back at once into a crowd', {timeout: 120_000}, () => {
	for (const [hosts, seeds] of [[7, 10], [73, 3]] as const) {
		it(`serve those who still wait: ${hosts} hosts`, t => {
			for (let seed = 1; seed <= seeds; seed++) {
				const played = playCrowd({...course, hosts, random: toSeededRandom(seed)});
				const quarter = toSecondsUntilServed(played, awaySeconds, 0.25);
				const all = toSecondsUntilServed(played, awaySeconds, 0.95);
				t.diagnostic(`seed ${seed}: a quarter after ${quarter} s, 95 in 100 after ${all} s; ${played.started} started, ${played.startedForNobody} for nobody, ${played.startedLate} late, ${played.refused} refused`);
				assert.ok(quarter <= recoverySeconds, `a quarter after ${quarter} s`);
				assert.ok(all <= recoverySeconds, `95 in 100 after ${all} s`);
				assert.ok(played.startedForNobody <= played.started / 4, `${played.startedForNobody} of ${played.started} for nobody`);
				assert.equal(played.startedLate, 0);
			}
		});
	}
});
