import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Milliseconds} from '../../../ports/clock.js';
import {startFollowed, type Followed} from './_test/start-followed.js';

/** Of servers: they never stand still, so each watch is answered at once. */
const heartbeatMs: Milliseconds = 50;

/** Lets time pass in which servers write heartbeats. */
async function advanceWithHeartbeats({time, platform}: Followed, ms: Milliseconds): Promise<void> {
	const until = time.clock.now() + ms;
	while (time.clock.now() < until) {
		platform.put('stays');
		await time.runUntil(time.clock.now() + heartbeatMs);
	}
}

describe('the pace of followPublished', () => {
	/*
	 * The platform answers every host about twice a second for nothing: hundreds of
	 * hosts watch the heartbeats of all servers, each read is answered at once, and
	 * the pause between two was as short where hosts had four seconds to act as
	 * where they had two. Proof: reads counted in virtual time, and when a server
	 * that says that it leaves is no longer used.
	 */
	for (const {actWithinMs, mostReads} of [{actWithinMs: 2000, mostReads: 51}, {actWithinMs: 3000, mostReads: 28}, {actWithinMs: 4000, mostReads: 21}]) {
		it(`reads ${mostReads} times in 30 s at most where it must act within ${actWithinMs} ms, and acts in time`, async () => {
			const followed = startFollowed(() => 0.5, actWithinMs);
			await advanceWithHeartbeats(followed, 2000);
			const before = followed.platform.reads();
			await advanceWithHeartbeats(followed, 30_000);
			const reads = followed.platform.reads() - before;
			assert.ok(reads <= mostReads, `${reads} reads`);
			// Half of the time is left for what is under way.
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
