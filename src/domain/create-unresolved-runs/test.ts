import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createUnresolvedRuns, type UnresolvedRun, type UnresolvedRunsOptions} from './index.js';

const toRun = (over: Partial<UnresolvedRun> = {}): UnresolvedRun => ({
	fingerprint: 'f', server: 'a', startedAt: 1000, endedAt: 2000, isWhole: false, ...over,
});

/** Creates a record, and a function that sets the start of the latest call that server `a` answered. */
function createRuns(options: Partial<UnresolvedRunsOptions> = {}) {
	let answeredAt = -Infinity;
	const runs = createUnresolvedRuns({toAnsweredAt: server => server === 'a' ? answeredAt : -Infinity, ...options});
	return {
		runs,
		answer(at: number) {
			answeredAt = at;
			return runs.takeSurvived('a');
		},
	};
}

describe('createUnresolvedRuns', () => {
	it('returns the runs during which a server ended', () => {
		const {runs} = createRuns();
		runs.add(toRun());
		runs.add(toRun({fingerprint: 'g', server: 'b'}));
		assert.deepEqual(runs.noteEnded('a', {from: 1500, to: 1500}), [{fingerprint: 'f', at: 1500}]);
	});

	it('counts a server that ended soon after this host hung up, but not before the run or long after it', () => {
		const ended = [500, 2900, 3100].map(at => {
			const {runs} = createRuns();
			runs.add(toRun());
			return runs.noteEnded('a', {from: at, to: at}).length;
		});
		assert.deepEqual(ended, [0, 1, 0]);
	});

	it('dates the end within a longer period by the last time at which the server may have been at work on the run', () => {
		const {runs} = createRuns();
		runs.add(toRun());
		assert.deepEqual(runs.noteEnded('a', {from: 0, to: 4000}), [{fingerprint: 'f', at: 3000}]);
	});

	it('knows an end that was reported before the run ended', () => {
		const {runs} = createRuns();
		assert.deepEqual(runs.noteEnded('a', {from: 1500, to: 1500}), []);
		assert.equal(runs.add(toRun()), 1500);
		assert.equal(runs.add(toRun({startedAt: 1600})), undefined);
	});

	it('takes the runs that a server was done with before it answered a call, and no others', () => {
		const {runs, answer} = createRuns();
		const survived = toRun({endedAt: 1500});
		runs.add(survived);
		runs.add(toRun());
		assert.deepEqual(answer(2500), []);
		assert.deepEqual(answer(2501), [survived]);
		assert.equal(runs.noteEnded('a', {from: 2600, to: 2600}).length, 1);
	});

	/* Guards against a run that is forgotten because of an end that was none, before its server ends. */
	it('keeps a run after an end of its server that was none', () => {
		const {runs, answer} = createRuns();
		runs.add(toRun());
		assert.deepEqual(runs.noteEnded('a', {from: 2100, to: 2200}), [{fingerprint: 'f', at: 2200}]);
		assert.deepEqual(answer(2300), []);
		assert.deepEqual(runs.noteEnded('a', {from: 2400, to: 2500}), [{fingerprint: 'f', at: 2500}]);
	});

	it('forgets runs after a time, and keeps a bounded number', () => {
		const {runs} = createRuns({keepMs: 1000, maxRuns: 2});
		runs.add(toRun());
		runs.add(toRun({endedAt: 3001}));
		assert.equal(runs.noteEnded('a', {from: 0, to: 4000}).length, 1);
		for (const server of ['a', 'b', 'c']) {
			runs.add(toRun({server, startedAt: 5000, endedAt: 6000}));
		}

		assert.deepEqual(['a', 'b', 'c'].map(server => runs.noteEnded(server, {from: 5500, to: 5500}).length), [0, 1, 1]);
	});
});
