import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Milliseconds} from '../../../ports/clock.js';
import {startFollowed, type Followed} from './_test/start-followed.js';

/** Interval of the servers' heartbeats, so short that each watch is answered at once. */
const heartbeatMs: Milliseconds = 50;

/** Advances time while servers write heartbeats. */
async function advanceWithHeartbeats({time, platform}: Followed, ms: Milliseconds): Promise<void> {
	const until = time.clock.now() + ms;
	while (time.clock.now() < until) {
		platform.put('stays');
		await time.runUntil(time.clock.now() + heartbeatMs);
	}
}

describe('the pace of followPublished', () => {
	/*
	 * Guards against needless reads. Hundreds of hosts watch the heartbeats of all
	 * servers, so each read is answered at once; with the same pause for a deadline of
	 * four seconds as for one of two, every host reads about twice a second for
	 * nothing. The test counts reads in virtual time, and checks when a server that
	 * announces its leaving is no longer used.
	 */
	for (const {actWithinMs, mostReads} of [{actWithinMs: 2000, mostReads: 51}, {actWithinMs: 3000, mostReads: 28}, {actWithinMs: 4000, mostReads: 21}]) {
		it(`reads ${mostReads} times in 30 s at most where it must act within ${actWithinMs} ms, and acts in time`, async () => {
			const followed = startFollowed(() => 0.5, actWithinMs);
			await advanceWithHeartbeats(followed, 2000);
			const before = followed.platform.reads();
			await advanceWithHeartbeats(followed, 30_000);
			const reads = followed.platform.reads() - before;
			assert.ok(reads <= mostReads, `${reads} reads`);
			// The other half of the time is left for requests in flight.
			for (let phase = 0; phase < actWithinMs; phase += 190) {
				followed.platform.put('leaves');
				await advanceWithHeartbeats(followed, actWithinMs + phase);
				followed.platform.put('leaves', true);
				await advanceWithHeartbeats(followed, actWithinMs / 2);
				assert.deepEqual(followed.used(), ['stays'], `still used, ${phase} ms`);
			}

			await followed.stop();
		});
	}
});
