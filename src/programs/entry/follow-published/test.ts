import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Milliseconds} from '../../../ports/clock.js';
import {startFollowed, type Followed} from './_test/start-followed.js';

/**
 * Time after the end of its last fault within which a host must act on everything
 * that the platform says, less the transit time of a request to a server.
 */
const actDeadlineMs: Milliseconds = 3000 - 100;

const cutAt: Milliseconds = 5000;
const cutMs: Milliseconds = 10_000;

type CutCase = {
	path: 'refusing' | 'silent';
	/** Offset of the cut's end, which may fall anywhere between the host's attempts. */
	phase: Milliseconds;
	/** Share of the longest delay between failed reads. */
	pause: number;
	isForgotten: boolean;
	/** Whether rules are published after the cut, which answers a watch. */
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
	// Guards against a host that serves by an old configuration, as it asks for changes again and again that are too long for one answer.
	it('reads all anew when the changes since a cut are too long for one answer', async () => {
		const followed = startFollowed(() => 0.5);
		const {time, platform} = followed;
		await time.runUntil(cutAt);
		platform.limitChanges(5);
		platform.setReachability('refusing');
		for (let n = 0; n < 6; n++) {
			platform.publishRules();
		}

		platform.remove('leaves');
		await time.runUntil(cutAt + cutMs);
		platform.setReachability('well');
		await time.runUntil(cutAt + cutMs + actDeadlineMs);
		assert.deepEqual(followed.used(), ['stays']);
		assert.equal(followed.logs().filter(({message}) => message === 'changes are too long for one answer, reading all anew').length, 1);
		await followed.stop();
	});

	/*
	 * Guards against requests that break at a server which left seconds ago. One host
	 * is cut off from the platform for ten seconds, and a server is removed meanwhile.
	 * A host that takes its own disconnection for an outage in which entries lapse,
	 * keeps the server as missing for 2.5 s from its first read, and checks the end of
	 * that period only between two reads, gives the server up too late.
	 */
	it('gives up a server that left while this host was cut off, within the deadline after the cut', async () => {
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
	 * Guards against refused requests to a pool whose server serves. The platform is
	 * away for ten seconds, entries lapse, and the first list after the return lacks a
	 * server that publishes itself again two seconds later. The grace period, which
	 * counts from the last failed read, must last that long.
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
	 * As above, but the outage is the shortest in which an entry lapses, and the host
	 * has read right before it: the host has had no answer for no longer than the
	 * outage. Found by random outages.
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
	 * The platform is back for a second and goes away again before a live server could
	 * publish itself again. The grace period of the first outage ends during the
	 * second, in which the server cannot publish anything: if the host dropped the
	 * server then, it would be missing for the rest of the second outage.
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
	 * As above, but the second outage ends before the grace period of the first. The
	 * second outage is too short for entries to lapse, yet the server could not publish
	 * itself during it. The grace period has to restart, or the server is dropped 1.3 s
	 * after the platform came back. Found by random outages.
	 */
	it('restarts the grace period of missing servers after a short second outage', async () => {
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
	 * A single broken watch says nothing about the platform: the next read is answered
	 * at once. If the host took the break for an outage, the grace period of a server
	 * that left would be extended, and requests to it would break.
	 */
	it('does not extend the grace period of missing servers for a single broken watch', async () => {
		const followed = startFollowed(() => 0.01);
		const {time, platform} = followed;
		await time.runUntil(cutAt);
		platform.setReachability('refusing');
		platform.remove('leaves');
		await time.runUntil(10_000);
		platform.setReachability('well');
		// Often enough that several cuts hit a waiting watch rather than the pause after it.
		for (let at = 11_000; at < 12_400; at += 70) {
			await time.runUntil(at);
			platform.breakWaitingRead();
		}

		await time.runUntil(10_000 + actDeadlineMs);
		assert.deepEqual(followed.used(), ['stays']);
		await followed.stop();
	});

	/*
	 * The platform refuses all reads for ten seconds. 400 hosts together may make 2,000
	 * reads a second; above that rate the platform, once it is back, refuses hosts that
	 * it could serve, and those hosts route requests by outdated state.
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
	 * Guards against requests that reach a server which left, or are routed by replaced
	 * rules. The host's only connection to the platform goes silent without a reset
	 * right before both changes are published; the watch on it fails only after its
	 * wait and the timeout of its answer. No other fault excuses the host after 3 s.
	 */
	it('acts within the deadline on what is published right after its connection went silent', async () => {
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
