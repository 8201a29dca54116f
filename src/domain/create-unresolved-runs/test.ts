import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createUnresolvedRuns, type UnresolvedRun} from './index.js';

const toRun = (over: Partial<UnresolvedRun> = {}): UnresolvedRun => ({
	fingerprint: 'f', server: 'a', startedAt: 1000, endedAt: 2000, isWhole: false, ...over,
});

describe('createUnresolvedRuns', () => {
	it('returns the runs during which a server ended, once', () => {
		const runs = createUnresolvedRuns();
		runs.add(toRun());
		runs.add(toRun({fingerprint: 'g', server: 'b'}));
		assert.deepEqual(runs.takeEnded('a', {from: 1500, to: 1500}), [{fingerprint: 'f', at: 1500}]);
		assert.deepEqual(runs.takeEnded('a', {from: 1500, to: 1500}), []);
	});

	it('counts a server that ended soon after this host hung up, but not before the run or long after it', () => {
		const ended = [500, 2900, 3100].map(at => {
			const runs = createUnresolvedRuns();
			runs.add(toRun());
			return runs.takeEnded('a', {from: at, to: at}).length;
		});
		assert.deepEqual(ended, [0, 1, 0]);
	});

	it('dates the end within a longer period by the last that was seen of the run', () => {
		const runs = createUnresolvedRuns();
		runs.add(toRun());
		assert.deepEqual(runs.takeEnded('a', {from: 0, to: 4000}), [{fingerprint: 'f', at: 2000}]);
	});

	it('knows an end that was reported before the run ended', () => {
		const runs = createUnresolvedRuns();
		assert.deepEqual(runs.takeEnded('a', {from: 1500, to: 1500}), []);
		assert.equal(runs.add(toRun()), 1500);
		assert.equal(runs.add(toRun({startedAt: 1600})), undefined);
	});

	it('returns the runs that a server survived, and none that ended after the call began', () => {
		const runs = createUnresolvedRuns();
		const survived = toRun({endedAt: 1500});
		runs.add(survived);
		runs.add(toRun());
		assert.deepEqual(runs.takeSurvived('b', 1800), []);
		assert.deepEqual(runs.takeSurvived('a', 1800), [survived]);
		assert.equal(runs.takeEnded('a', {from: 1500, to: 1500}).length, 1);
	});

	it('forgets runs after a time, and keeps a bounded number', () => {
		const runs = createUnresolvedRuns({keepMs: 1000, maxRuns: 2});
		runs.add(toRun());
		runs.add(toRun({endedAt: 3001}));
		assert.equal(runs.takeEnded('a', {from: 0, to: 4000}).length, 1);
		for (const server of ['a', 'b', 'c']) {
			runs.add(toRun({server, startedAt: 5000, endedAt: 6000}));
		}

		assert.deepEqual(['a', 'b', 'c'].map(server => runs.takeEnded(server, {from: 5500, to: 5500}).length), [0, 1, 1]);
	});
});
