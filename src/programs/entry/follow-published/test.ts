import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Milliseconds} from '../../../ports/clock.js';
import {startFollowed, type Followed} from './_test/start-followed.js';

/**
 * Time after the end of a trouble of its own from which a host must act on all
 * that the platform says, less what a request may be on its way to a server.
 */
const actDeadlineMs: Milliseconds = 3000 - 100;

const cutAt: Milliseconds = 5000;
const cutMs: Milliseconds = 10_000;

type CutCase = {
	path: 'refusing' | 'silent';
	/** Between the host's attempts the way opens at any moment. */
	phase: Milliseconds;
	/** How much of the longest pause between failed reads is taken. */
	pause: number;
	isForgotten: boolean;
	/** Whether rules are published after the cut: each answers a watch. */
	isBusy: boolean;
};

function listCutCases(): CutCase[] {
	const cases: CutCase[] = [];
	for (let phase = 0; phase < 1300; phase += 97) {
		for (const pause of [0.01, 0.99]) {
			for (const path of ['refusing', 'silent'] as const) {
				for (const isBusy of [false, true]) {
					cases.push({
						path, phase, pause, isForgotten: false, isBusy,
					}, {
						path, phase, pause, isForgotten: true, isBusy,
					});
				}
			}
		}
	}

	return cases;
}

async function startPartitioned({path, pause}: CutCase): Promise<Followed> {
	const followed = startFollowed(() => pause);
	await followed.time.runUntil(cutAt);
	assert.deepEqual(followed.used(), ['leaves', 'stays']);
	followed.platform.setReachability(path);
	return followed;
}

async function heal({time, platform}: Followed, {phase, isForgotten, isBusy}: CutCase): Promise<Milliseconds> {
	const healedAt = cutAt + cutMs + phase;
	await time.runUntil(healedAt);
	if (isForgotten) {
		platform.forget();
	}

	platform.setReachability('well');
	if (isBusy) {
		await time.runUntil(healedAt + 1300);
		platform.publishRules();
	}

	return healedAt;
}

describe('followPublished', () => {
	/*
	 * Callers' requests reach a server that left seconds ago, and break when it ends.
	 * One host is cut off from the platform for ten seconds; meanwhile a server is
	 * removed, and the other hosts know. Back again, the host took its own silence
	 * for an outage in which entries lapse, kept the server as missing for 2.5 s from
	 * its first read, and looked at the end of that time only between two reads.
	 */
	it('gives up a server that left while this host was cut off, before it must act on what it reads', async () => {
		const late: CutCase[] = [];
		for (const cut of listCutCases()) {
			const followed = await startPartitioned(cut);
			await followed.time.runUntil(cutAt + 500);
			followed.platform.remove('leaves');
			const healedAt = await heal(followed, cut);
			await followed.time.runUntil(healedAt + actDeadlineMs);
			if (followed.used().includes('leaves')) {
				late.push(cut);
			}

			assert.ok(followed.used().includes('stays'));
			await followed.stop();
		}

		assert.deepEqual(late, []);
	});

	/*
	 * Callers of a pool would be refused although its server serves. The platform is
	 * away for ten seconds, entries lapse, and the list that is read first lacks a
	 * server that publishes itself anew two seconds after the return. Counted from
	 * the last failed read, the grace must still last that long.
	 */
	it('keeps a server whose entry lapsed in an outage until it is back, two seconds after the platform', async () => {
		const dropped: CutCase[] = [];
		for (const cut of listCutCases()) {
			const followed = await startPartitioned(cut);
			await followed.time.runUntil(cutAt + 4000);
			followed.platform.remove('leaves');
			const healedAt = await heal(followed, cut);
			await followed.time.runUntil(healedAt + 2000);
			followed.platform.put('leaves');
			await followed.time.runUntil(healedAt + 6000);
			if (followed.logs().some(line => line.server === 'leaves' && line.state === 'gone')) {
				dropped.push(cut);
			}

			assert.deepEqual(followed.used(), ['leaves', 'stays']);
			await followed.stop();
		}

		assert.deepEqual(dropped, []);
	});

	/*
	 * As before, but the outage is the shortest that lets an entry lapse, and the host
	 * read right before it: its own silence is no longer than the outage. Found by
	 * random outages.
	 */
	it('keeps a server whose entry lapsed in an outage of two heartbeats', async () => {
		const followed = startFollowed(() => 0.01);
		const {time, platform} = followed;
		await time.runUntil(cutAt);
		platform.publishRules();
		await time.runUntil(cutAt + 1000);
		platform.publishRules();
		await time.runUntil(cutAt + 1050);
		platform.setReachability('refusing');
		platform.remove('leaves');
		await time.runUntil(cutAt + 1050 + 2400);
		platform.setReachability('well');
		await time.runUntil(cutAt + 1050 + 2400 + 2000);
		assert.deepEqual(followed.used(), ['leaves', 'stays']);
		await followed.stop();
	});

	/*
	 * The platform is back for a second and goes away again, before a living server
	 * could publish itself anew. The grace of the first outage ends in the second one,
	 * in which nothing can be heard of the server: dropped then, it would be missed
	 * for as long as the second outage lasts.
	 */
	it('drops no missing server while the platform is away again', async () => {
		for (const path of ['refusing', 'silent'] as const) {
			const followed = startFollowed(() => 0.5);
			const {time, platform} = followed;
			await time.runUntil(cutAt);
			platform.setReachability(path);
			await time.runUntil(10_000);
			platform.remove('leaves');
			platform.setReachability('well');
			await time.runUntil(11_000);
			platform.setReachability(path);
			await time.runUntil(17_000);
			assert.deepEqual(followed.used(), ['leaves', 'stays'], path);
			platform.setReachability('well');
			await time.runUntil(18_500);
			platform.put('leaves');
			await time.runUntil(22_000);
			assert.deepEqual(followed.used(), ['leaves', 'stays'], path);
			assert.deepEqual(followed.logs().filter(({state}) => state === 'gone'), [], path);
			await followed.stop();
		}
	});

	/*
	 * As before, but the second outage is over before the grace of the first: it is
	 * too short to let entries lapse, and yet the server could not publish itself in
	 * it. The grace has to begin anew, or the server is dropped 1.3 s after the
	 * platform came back. Found by random outages.
	 */
	it('gives missing servers their time anew after a short second outage', async () => {
		for (const path of ['refusing', 'silent'] as const) {
			const followed = startFollowed(() => 0.01);
			const {time, platform} = followed;
			await time.runUntil(6000);
			platform.setReachability(path);
			platform.remove('leaves');
			await time.runUntil(9400);
			platform.setReachability('well');
			await time.runUntil(10_400);
			platform.setReachability(path);
			await time.runUntil(11_500);
			platform.setReachability('well');
			await time.runUntil(13_400);
			assert.deepEqual(followed.used(), ['leaves', 'stays'], path);
			await time.runUntil(11_500 + actDeadlineMs);
			assert.deepEqual(followed.used(), ['stays'], path);
			await followed.stop();
		}
	});

	/*
	 * A watch that waits is cut once, which says nothing of the platform: the next
	 * read is answered at once. Taken for an outage, it would prolong the grace of a
	 * server that left, and its requests break.
	 */
	it('gives missing servers no more time for one watch that was cut', async () => {
		const followed = startFollowed(() => 0.01);
		const {time, platform} = followed;
		await time.runUntil(cutAt);
		platform.setReachability('refusing');
		platform.remove('leaves');
		await time.runUntil(10_000);
		platform.setReachability('well');
		// Often enough that several fall on a watch that waits, and not on the pause behind it.
		for (let at = 11_000; at < 12_400; at += 70) {
			await time.runUntil(at);
			platform.breakWaitingRead();
		}

		await time.runUntil(10_000 + actDeadlineMs);
		assert.deepEqual(followed.used(), ['stays']);
		await followed.stop();
	});

	/*
	 * The platform refuses everybody for ten seconds. 400 hosts may read it 2,000 times
	 * a second together; above that it refuses whom it could serve when it is back,
	 * and callers of those hosts are sent by what was published before.
	 */
	it('reads a platform that refuses less often than five times a second', async () => {
		let draws = 0;
		const followed = startFollowed(() => (draws++ % 100) / 100);
		const {time, platform} = followed;
		await time.runUntil(cutAt);
		platform.setReachability('refusing');
		const before = platform.reads();
		await time.runUntil(cutAt + cutMs);
		const aSecond = (platform.reads() - before) * 1000 / cutMs;
		assert.ok(aSecond < 5, `${aSecond} reads a second`);
		await followed.stop();
	});

	/*
	 * Callers' requests reach a server that left, and rules that were replaced decide.
	 * The host's one connection to the platform goes silent without a reset, right
	 * before both are published; the watch on it is only given up when its wait and
	 * the limit of its answer are over. No other trouble excuses the host after 3 s.
	 */
	it('acts on what is published right after its connection went silent, before it must', async () => {
		const late: Milliseconds[] = [];
		for (let silentAt = cutAt; silentAt < cutAt + 3000; silentAt += 47) {
			const followed = startFollowed(() => 0.99);
			const {time, platform, follower} = followed;
			await time.runUntil(silentAt);
			platform.hangConnection();
			await time.runUntil(silentAt + 10);
			platform.remove('leaves');
			platform.publishRules();
			await time.runUntil(silentAt + actDeadlineMs);
			if (followed.used().includes('leaves') || follower.toView()?.accepted?.version.edition !== 2) {
				late.push(silentAt - cutAt);
			}

			await followed.stop();
		}

		assert.deepEqual(late, []);
	});
});
