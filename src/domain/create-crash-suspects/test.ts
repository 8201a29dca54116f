import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type CrashReport} from '../../ports/crash-reports.js';
import {msPerMinute, msPerSecond} from '../../ports/units.js';
import {createCrashSuspects, type CrashSuspects} from './index.js';

/** A request under which each of the servers ended, one a second. */
function crash(suspects: CrashSuspects, fingerprint: string, servers: readonly string[], from = 0): boolean[] {
	return servers.map((server, i) => suspects.noteBroken(fingerprint, server, from + (i * msPerSecond)));
}

const all = {leastFresh: 1, limit: 10};

const toReport = (fingerprint: string, servers: readonly string[], ageMs = 0): CrashReport => ({
	fingerprint, idleMs: ageMs, crashes: servers.map(server => ({server, ageMs})),
});

describe('createCrashSuspects', () => {
	it('quarantines a request with the third server that ends under it, and no other one', () => {
		const suspects = createCrashSuspects();
		assert.deepEqual(crash(suspects, 'f', ['a', 'b', 'c', 'd']), [false, false, true, false]);
		crash(suspects, 'g', ['a', 'b']);
		assert.equal(suspects.isQuarantined('f', 4000), true);
		assert.equal(suspects.isQuarantined('g', 4000), false);
		assert.equal(suspects.isQuarantined('never seen', 4000), false);
		assert.deepEqual(suspects.crashedServers('f', 4000), ['a', 'b', 'c', 'd']);
	});

	it('counts a server once, however many attempts broke there', () => {
		const suspects = createCrashSuspects();
		crash(suspects, 'f', ['a', 'a', 'a', 'b']);
		assert.equal(suspects.isQuarantined('f', 5000), false);
	});

	/* Guards against quarantine for answers that a living server broke off. */
	it('takes a server that answers a later call for living, and what broke there for no crash', () => {
		const suspects = createCrashSuspects();
		crash(suspects, 'f', ['a', 'b', 'c']);
		suspects.noteAnswered('b', 500);
		assert.equal(suspects.isQuarantined('f', 5000), true, 'that call was begun before');
		suspects.noteAnswered('b', 1500);
		assert.equal(suspects.isQuarantined('f', 5000), false);
		assert.deepEqual(suspects.mergeReports([toReport('f', ['b'], 4000)], 5000), [], 'another host tells of it again');
		assert.equal(suspects.isQuarantined('f', 5000), false);
		assert.deepEqual(suspects.mergeReports([toReport('f', ['b'], 100)], 5000), ['f'], 'it ended since');
	});

	/* Guards against quarantine of requests that run beside the one that crashes servers. */
	it('clears a request that was answered whole', () => {
		const suspects = createCrashSuspects();
		crash(suspects, 'f', ['a', 'b']);
		suspects.noteCompleted('f', 3000);
		crash(suspects, 'f', ['c', 'd'], 4000);
		assert.equal(suspects.isQuarantined('f', 6000), false);
		suspects.mergeReports([toReport('f', ['a', 'b'], 5000)], 6000);
		assert.equal(suspects.isQuarantined('f', 6000), false, 'what others tell of before is cleared too');
		crash(suspects, 'f', ['e'], 7000);
		assert.equal(suspects.isQuarantined('f', 7000), true);
	});

	it('adds up what several hosts have seen', () => {
		const hosts = ['a', 'b', 'c'].map(server => {
			const suspects = createCrashSuspects();
			crash(suspects, 'f', [server]);
			return suspects;
		});
		const [first, second, third] = hosts as [CrashSuspects, CrashSuspects, CrashSuspects];
		assert.deepEqual(second.mergeReports(first.toReports(1000, all), 1000), []);
		assert.deepEqual(third.mergeReports(second.toReports(1010, all), 1010), ['f']);
		assert.deepEqual(third.mergeReports(second.toReports(1020, all), 1020), [], 'told of once');
		assert.deepEqual(third.crashedServers('f', 1020).toSorted(), ['a', 'b', 'c']);
	});

	it('forgets a request that was not seen for an hour, and not one that comes again', () => {
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

	it('remembers so many at most, and quarantined ones before others', () => {
		const suspects = createCrashSuspects({maxSuspects: 3});
		crash(suspects, 'f', ['a', 'b', 'c']);
		for (const other of ['g', 'h', 'i', 'j']) {
			crash(suspects, other, ['d'], 4000);
		}

		assert.deepEqual(suspects.count(5000), {suspects: 3, quarantined: 1});
		assert.deepEqual(suspects.toReports(5000, all).map(({fingerprint}) => fingerprint), ['f', 'i', 'j']);
		assert.equal(suspects.isQuarantined('f', 5000), true);
	});

	it('keeps nothing of a report that tells of no crash', () => {
		const suspects = createCrashSuspects();
		suspects.noteAnswered('a', 900);
		suspects.mergeReports([toReport('f', ['a'], 500), toReport('g', [])], 1000);
		assert.deepEqual(suspects.count(1000), {suspects: 0, quarantined: 0});
	});

	it('tells of first crashes for five seconds where they are asked for, of repeated ones always, and of others each time', () => {
		const suspects = createCrashSuspects();
		crash(suspects, 'once', ['a']);
		crash(suspects, 'twice', ['a', 'b']);
		const told = (now: number, options = all) => suspects.toReports(now, options).map(({fingerprint}) => fingerprint);
		assert.deepEqual(told(2000), ['once', 'twice']);
		assert.deepEqual(told(2000, {leastFresh: 2, limit: 10}), ['twice']);
		assert.deepEqual([...told(2000, {leastFresh: 1, limit: 1}), ...told(2000, {leastFresh: 1, limit: 1})].toSorted(), ['once', 'twice']);
		assert.deepEqual(told(10_000), ['twice']);
		assert.deepEqual(suspects.toReports(10_000, all), [{
			fingerprint: 'twice', idleMs: 9000, crashes: [{server: 'a', ageMs: 10_000}, {server: 'b', ageMs: 9000}],
		}]);
	});

	it('gives each change once', () => {
		const suspects = createCrashSuspects();
		crash(suspects, 'once', ['a']);
		crash(suspects, 'twice', ['a', 'b']);
		const taken = (limit: number) => suspects.takeChanged(2000, limit).map(({fingerprint}) => fingerprint);
		assert.deepEqual([...taken(1), ...taken(1)].toSorted(), ['once', 'twice']);
		assert.deepEqual(taken(10), []);
		crash(suspects, 'twice', ['b', 'c'], 3000);
		assert.deepEqual(taken(10), ['twice']);
	});
});
