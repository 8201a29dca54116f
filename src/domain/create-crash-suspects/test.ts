import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type CrashReport} from '../../ports/crash-reports.js';
import {msPerMinute, msPerSecond} from '../../ports/units.js';
import {createCrashSuspects, type CrashSuspects} from './index.js';

/** Records crashes of the servers while they ran the request, one per second. */
function crash(suspects: CrashSuspects, fingerprint: string, servers: readonly string[], from = 0): boolean[] {
	return servers.map((server, i) => suspects.noteBroken(fingerprint, server, from + (i * msPerSecond)));
}

/** Records so many runs of the request that servers survived, four a second; returns the time of the last one. */
function survive(suspects: CrashSuspects, fingerprint: string, count: number, from: number): number {
	const times = Array.from({length: count}, (_, i) => from + (i * msPerSecond / 4));
	for (const at of times) {
		suspects.noteSurvived(fingerprint, 'well', at);
	}

	return times.at(-1)!;
}

const all = {minFreshCrashes: 1, limit: 10};

const toReport = (fingerprint: string, servers: readonly string[], ageMs = 0): CrashReport => ({
	fingerprint, idleMs: ageMs, crashes: servers.map(server => ({server, ageMs})),
});

describe('createCrashSuspects', () => {
	it('quarantines a request when the third server crashes while running it, and no other request', () => {
		const suspects = createCrashSuspects();
		assert.deepEqual(crash(suspects, 'f', ['a', 'b', 'c', 'd']), [false, false, true, false]);
		crash(suspects, 'g', ['a', 'b']);
		assert.equal(suspects.isQuarantined('f', 4000), true);
		assert.equal(suspects.isQuarantined('g', 4000), false);
		assert.equal(suspects.isQuarantined('never seen', 4000), false);
		assert.deepEqual(suspects.crashedServers('f', 4000), ['a', 'b', 'c', 'd']);
	});

	it('counts a server once, however many attempts failed there', () => {
		const suspects = createCrashSuspects();
		crash(suspects, 'f', ['a', 'a', 'a', 'b']);
		assert.equal(suspects.isQuarantined('f', 5000), false);
	});

	/* Guards against quarantine because a running server closed connections. */
	it('does not count a crash of a server that answers a later call', () => {
		const suspects = createCrashSuspects();
		crash(suspects, 'f', ['a', 'b', 'c']);
		suspects.noteAnswered('b', 500);
		assert.equal(suspects.isQuarantined('f', 5000), true, 'the call started before the crash');
		suspects.noteAnswered('b', 1500);
		assert.equal(suspects.isQuarantined('f', 5000), false);
		assert.deepEqual(suspects.mergeReports([toReport('f', ['b'], 4000)], 5000), [], 'another host reports the same crash again');
		assert.equal(suspects.isQuarantined('f', 5000), false);
		assert.deepEqual(suspects.mergeReports([toReport('f', ['b'], 100)], 5000), ['f'], 'the server has crashed since');
	});

	/* Guards against quarantine of requests that run beside the one that crashes servers. */
	it('clears a request that servers survived four times for each crash', () => {
		const suspects = createCrashSuspects();
		crash(suspects, 'f', ['a', 'b']);
		assert.equal(survive(suspects, 'f', 8, 2000), 3750);
		crash(suspects, 'f', ['c', 'd'], 4000);
		assert.equal(suspects.isQuarantined('f', 6000), false);
		suspects.mergeReports([toReport('f', ['a', 'b'], 5000)], 6000);
		assert.equal(suspects.isQuarantined('f', 6000), false, 'earlier crashes that other hosts report are cleared too');
		crash(suspects, 'f', ['e'], 7000);
		assert.equal(suspects.isQuarantined('f', 7000), true);
	});

	/* Guards against a request that goes on ending servers because some survive it in between. */
	it('quarantines a request of which each second run ends its server, on all hosts', () => {
		const [first, second] = [createCrashSuspects(), createCrashSuspects()];
		const quarantined: boolean[] = [];
		for (let n = 0; n < 4; n++) {
			const now = n * 2 * msPerSecond;
			(n % 2 === 0 ? first : second).noteBroken('f', `s${n}`, now);
			first.noteSurvived('f', 'well', now + msPerSecond);
			second.mergeReports(first.takeChanged(now + 1100, 10), now + 1100);
			first.mergeReports(second.takeChanged(now + 1200, 10), now + 1200);
			quarantined.push(first.isQuarantined('f', now + 1200) && second.isQuarantined('f', now + 1200));
		}

		assert.deepEqual(quarantined, [false, false, false, true]);
	});

	/* Guards against a request that goes on ending servers of one software version because servers of another survive it. */
	it('counts one of several survivals in short order at another software version than that of all crashes', () => {
		const toVersion = (server: string) => server.startsWith('new') ? '2.1' : '2.0';
		const [first, second] = [createCrashSuspects({toVersion}), createCrashSuspects({toVersion})];
		second.noteSurvived('f', 'old1', 900);
		crash(first, 'f', ['new1', 'new2']);
		second.mergeReports(first.toReports(1500, all), 1500);
		for (let n = 0; n < 8; n++) {
			first.noteSurvived('f', 'old1', 2000 + (n * 250));
			second.noteSurvived('f', 'old2', 2000 + (n * 250));
		}

		for (const suspects of [first, second]) {
			assert.deepEqual(suspects.listReports(4000).map(({survivalAgesMs}) => survivalAgesMs), [[2000]]);
		}

		crash(second, 'f', ['new3', 'new4'], 5000);
		assert.deepEqual(first.mergeReports(second.toReports(6100, all), 6100), ['f']);
	});

	it('lets survivals at a software version of the crashes take them away, and all of them once servers of several versions crashed', () => {
		const toVersion = (server: string) => server.startsWith('new') ? '2.1' : '2.0';
		for (const [crashed, survived] of [[['new1', 'new2'], 'new3'], [['new1', 'old1'], 'old2']] as const) {
			const suspects = createCrashSuspects({toVersion});
			crash(suspects, 'f', crashed);
			for (let n = 0; n < 8; n++) {
				suspects.noteSurvived('f', survived, 2000 + (n * 250));
			}

			assert.deepEqual(suspects.crashedServers('f', 4000), []);
		}
	});

	it('knows the software version of a server that is published no more when its survivals are compared', () => {
		const published = new Set(['new1', 'old1']);
		const suspects = createCrashSuspects({toVersion: server => published.has(server) ? server.slice(0, 3) : undefined});
		crash(suspects, 'f', ['new1']);
		published.delete('new1');
		suspects.noteSurvived('f', 'old1', 1000);
		suspects.noteSurvived('f', 'old1', 1500);
		assert.deepEqual(suspects.listReports(2000).map(({survivalAgesMs}) => survivalAgesMs), [[1000]]);
		suspects.noteSurvived('f', 'unknown', 1500);
		assert.deepEqual(suspects.listReports(2000).map(({survivalAgesMs}) => survivalAgesMs), [[1000, 500]]);
	});

	it('counts a survived run once, although hosts date it differently', () => {
		const suspects = createCrashSuspects();
		crash(suspects, 'f', ['a', 'b', 'c']);
		suspects.noteSurvived('f', 'well', 3000);
		assert.equal(suspects.isQuarantined('f', 3000), false);
		suspects.mergeReports([{...toReport('f', ['c'], 1500), survivalAgesMs: [450]}], 3500);
		assert.deepEqual(suspects.listReports(3500).map(({survivalAgesMs}) => survivalAgesMs), [[500]]);
	});

	/* Guards against a request that ends servers without closing connections, or after this host has closed them. */
	it('counts runs without an answer once their server is known to have ended, and only then', () => {
		const suspects = createCrashSuspects();
		for (const server of ['a', 'b', 'c', 'd']) {
			assert.equal(suspects.noteUnresolved({
				fingerprint: 'f', server, startedAt: 0, isWhole: false,
			}, 1000), false);
		}

		assert.equal(suspects.count(1000).suspects, 0);
		suspects.noteAnswered('a', 2100);
		const ended = ['a', 'b', 'c'].map(server => suspects.noteServerEnded(server, {from: 500, to: 4000}, 4000));
		assert.deepEqual(ended, [[], [], []]);
		assert.deepEqual(suspects.crashedServers('f', 4000), ['b', 'c']);
		assert.deepEqual(suspects.noteServerEnded('d', {from: 500, to: 4000}, 4000), ['f']);
	});

	/* Guards against an answer to another call that is taken as proof that the server survived a run which it was still at work on. */
	it('counts a run although its server answered another call before it ended', () => {
		for (const period of [{from: 500, to: 600}, {from: -2000, to: 4000}]) {
			const suspects = createCrashSuspects({crashesToQuarantine: 1});
			suspects.noteUnresolved({
				fingerprint: 'f', server: 'a', startedAt: 0, isWhole: false,
			}, 250);
			suspects.noteAnswered('a', 300);
			assert.deepEqual(suspects.noteServerEnded('a', period, period.to), ['f']);
		}
	});

	it('counts a closed connection again if its server ended soon after it had answered another call', () => {
		const suspects = createCrashSuspects({crashesToQuarantine: 1});
		suspects.noteBroken('f', 'a', 250);
		suspects.noteAnswered('a', 300);
		assert.equal(suspects.isQuarantined('f', 400), false);
		assert.deepEqual(suspects.noteServerEnded('a', {from: 500, to: 600}, 600), ['f']);
		assert.equal(suspects.isQuarantined('f', 700), true);
	});

	it('counts a run that ends without an answer after its server is known to have ended', () => {
		const suspects = createCrashSuspects();
		crash(suspects, 'f', ['a', 'b']);
		suspects.noteServerEnded('c', {from: 3000, to: 3000}, 3100);
		assert.equal(suspects.noteUnresolved({
			fingerprint: 'f', server: 'c', startedAt: 2500, isWhole: false,
		}, 4000), true);
	});

	it('clears a request whose answer ended with its connection once the server answers a later call, and counts it if the server has ended', () => {
		const suspects = createCrashSuspects();
		for (const fingerprint of ['f', 'g']) {
			crash(suspects, fingerprint, ['a', 'b']);
		}

		suspects.noteUnresolved({
			fingerprint: 'f', server: 'c', startedAt: 2500, isWhole: true,
		}, 3000);
		suspects.noteUnresolved({
			fingerprint: 'g', server: 'd', startedAt: 2500, isWhole: true,
		}, 3000);
		assert.deepEqual(suspects.crashedServers('f', 3000), ['a', 'b']);
		suspects.noteAnswered('c', 3100);
		assert.deepEqual(suspects.crashedServers('f', 3200), ['a', 'b']);
		suspects.noteAnswered('c', 4100);
		assert.deepEqual(suspects.listReports(4200).map(({fingerprint, survivalAgesMs}) => [fingerprint, survivalAgesMs]), [['f', [1200]], ['g', undefined]]);
		assert.deepEqual(suspects.noteServerEnded('d', {from: 2000, to: 6000}, 6000), ['g']);
	});

	it('adds up the crashes that several hosts have seen', () => {
		const hosts = ['a', 'b', 'c'].map(server => {
			const suspects = createCrashSuspects();
			crash(suspects, 'f', [server]);
			return suspects;
		});
		const [first, second, third] = hosts as [CrashSuspects, CrashSuspects, CrashSuspects];
		assert.deepEqual(second.mergeReports(first.toReports(1000, all), 1000), []);
		assert.deepEqual(third.mergeReports(second.toReports(1010, all), 1010), ['f']);
		assert.deepEqual(third.mergeReports(second.toReports(1020, all), 1020), [], 'a newly quarantined request is returned once');
		assert.deepEqual(third.crashedServers('f', 1020).toSorted(), ['a', 'b', 'c']);
	});

	it('forgets a request that has not recurred for an hour, and keeps one that has', () => {
		const suspects = createCrashSuspects();
		crash(suspects, 'f', ['a', 'b', 'c']);
		crash(suspects, 'g', ['a', 'b', 'c']);
		suspects.noteRefused('g', 50 * msPerMinute);
		assert.equal(suspects.isQuarantined('f', 59 * msPerMinute), true);
		assert.equal(suspects.isQuarantined('f', 61 * msPerMinute), false);
		assert.equal(suspects.isQuarantined('g', 61 * msPerMinute), true);
		assert.deepEqual(suspects.mergeReports([toReport('f', ['a', 'b', 'c'], 61 * msPerMinute)], 61 * msPerMinute), []);
		assert.deepEqual(suspects.count(61 * msPerMinute), {suspects: 1, quarantined: 1});
	});

	it('keeps a bounded number of suspects, and evicts quarantined ones last', () => {
		const suspects = createCrashSuspects({maxSuspects: 3});
		crash(suspects, 'f', ['a', 'b', 'c']);
		for (const other of ['g', 'h', 'i', 'j']) {
			crash(suspects, other, ['d'], 4000);
		}

		assert.deepEqual(suspects.count(5000), {suspects: 3, quarantined: 1});
		assert.deepEqual(suspects.toReports(5000, all).map(({fingerprint}) => fingerprint), ['f', 'i', 'j']);
		assert.equal(suspects.isQuarantined('f', 5000), true);
	});

	it('keeps no suspect for a report without crashes', () => {
		const suspects = createCrashSuspects();
		suspects.noteAnswered('a', 900);
		suspects.mergeReports([toReport('f', ['a'], 500), toReport('g', [])], 1000);
		assert.deepEqual(suspects.count(1000), {suspects: 0, quarantined: 0});
	});

	it('reports first crashes for five seconds if asked, repeated crashes always, and rotates through them', () => {
		const suspects = createCrashSuspects();
		crash(suspects, 'once', ['a']);
		crash(suspects, 'twice', ['a', 'b']);
		const toReported = (now: number, options = all) => suspects.toReports(now, options).map(({fingerprint}) => fingerprint);
		assert.deepEqual(toReported(2000), ['once', 'twice']);
		assert.deepEqual(toReported(2000, {minFreshCrashes: 2, limit: 10}), ['twice']);
		assert.deepEqual([...toReported(2000, {minFreshCrashes: 1, limit: 1}), ...toReported(2000, {minFreshCrashes: 1, limit: 1})].toSorted(), ['once', 'twice']);
		assert.deepEqual(toReported(10_000), ['twice']);
		assert.deepEqual(suspects.toReports(10_000, all), [{
			fingerprint: 'twice', idleMs: 9000, crashes: [{server: 'a', ageMs: 10_000}, {server: 'b', ageMs: 9000}],
		}]);
	});

	it('returns each change once', () => {
		const suspects = createCrashSuspects();
		crash(suspects, 'once', ['a']);
		crash(suspects, 'twice', ['a', 'b']);
		const taken = (limit: number) => suspects.takeChanged(2000, limit).map(({fingerprint}) => fingerprint);
		assert.deepEqual([...taken(1), ...taken(1)].toSorted(), ['once', 'twice']);
		assert.deepEqual(taken(10), []);
		crash(suspects, 'twice', ['b', 'c'], 3000);
		assert.deepEqual(taken(10), ['twice']);
	});

	/* Guards against refusing a request that another host has served since. */
	it('clears a request that a server survived at another host', () => {
		const [first, second] = [createCrashSuspects(), createCrashSuspects()];
		crash(first, 'f', ['a', 'b']);
		crash(second, 'f', ['a', 'b']);
		survive(first, 'f', 8, 2000);
		second.mergeReports(first.takeChanged(4000, 10), 4000);
		assert.deepEqual(second.crashedServers('f', 4000), []);
		assert.equal(second.noteBroken('f', 'c', 5000), false);
	});

	it('contradicts the report of a host that does not know of a run that a server survived, once', () => {
		const [serving, other] = [createCrashSuspects(), createCrashSuspects()];
		serving.noteSurvived('f', 'well', 3000);
		crash(other, 'f', ['a', 'b']);
		serving.mergeReports(other.toReports(4000, all), 4000);
		const contradiction = serving.takeChanged(4000, 10);
		assert.deepEqual(contradiction.map(({survivalAgesMs, mostCrashes}) => ({survivalAgesMs, mostCrashes})), [{survivalAgesMs: [1000], mostCrashes: 2}]);
		other.mergeReports(contradiction, 4000);
		assert.deepEqual(other.listReports(4000).map(({survivalAgesMs}) => survivalAgesMs), [[1000]]);
		serving.mergeReports(other.toReports(4100, all), 4100);
		assert.deepEqual(serving.takeChanged(4100, 10), []);
	});

	/* Guards against a host that refuses a request because it was told of crashes, but not of survived runs. */
	it('contradicts the report of known crashes by a host that does not know of a survived run', () => {
		const [serving, other] = [createCrashSuspects(), createCrashSuspects()];
		for (const suspects of [serving, other]) {
			crash(suspects, 'f', ['a', 'b']);
		}

		serving.noteSurvived('f', 'well', 3000);
		serving.takeChanged(3000, 10);
		serving.mergeReports(other.toReports(4000, all), 4000);
		assert.deepEqual(serving.takeChanged(4000, 10).map(({survivalAgesMs}) => survivalAgesMs), [[1000]]);
	});

	it('repeats reports of first crashes after a time, and lists all for a host that starts', () => {
		const suspects = createCrashSuspects();
		crash(suspects, 'once', ['a']);
		crash(suspects, 'twice', ['a', 'b']);
		suspects.takeChanged(2000, 10);
		const overdue = (now: number) => suspects.takeOverdue(now, 10).map(({fingerprint}) => fingerprint);
		assert.deepEqual([overdue(11_000), overdue(12_000), overdue(13_000), overdue(22_000)], [[], ['once'], [], ['once']]);
		assert.deepEqual(suspects.listReports(30_000).map(({fingerprint}) => fingerprint), ['once', 'twice']);
	});
});
