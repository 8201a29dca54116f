import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type EngineFailure} from '../../../ports/engine.js';
import {createFixture, decodes, type Answer} from './_test/create-fixture.js';

describe('runRequest', {timeout: 30_000}, () => {
	it('asks each full server once, charges nothing for it, and then waits for admission again', async () => {
		const fixture = createFixture(() => 'full');
		const {end, nextAttempt} = await fixture.runRequest();
		assert.equal(end.kind, 'bounced');
		assert.equal(end.kind === 'bounced' && end.problem.outcome, 'not-run');
		assert.deepEqual(fixture.asked.toSorted((a, b) => a < b ? -1 : 1), decodes);
		assert.equal(fixture.spent(), 0);
		assert.equal(nextAttempt, decodes.length + 1, 'engines see each attempt under a number of its own');
	});

	it('runs on the first server with a free slot, however many were full before', async () => {
		const fixture = createFixture((_server, asked) => asked < decodes.length ? 'full' : 'room');
		const {end} = await fixture.runRequest();
		assert.equal(end.kind, 'complete');
		assert.equal(fixture.asked.length, decodes.length);
	});

	// Guards against servers that are asked for a caller whose close lay unread behind the request, or behind the answer before.
	for (const [when, reading] of [['before the first attempt', 1], ['between two attempts', 2]] as const) {
		it(`asks no server for a caller who is found to have left ${when}`, async () => {
			let readings = 0;
			const fixture = createFixture(() => 'full', {
				onReadClose(leave) {
					readings++;
					if (readings === reading) {
						leave();
					}
				},
			});
			const {end} = await fixture.runRequest();
			assert.equal(end.kind, 'gone');
			assert.equal(fixture.asked.length, reading - 1);
		});
	}

	it('keeps the whole budget for failures that come after full servers', async () => {
		const answers: readonly Answer[] = ['full', 'full', 'full', 'broken', 'room'];
		const fixture = createFixture((_server, asked) => answers[asked - 1]!);
		const {end} = await fixture.runRequest();
		assert.equal(end.kind, 'complete');
		assert.equal(new Set(fixture.asked).size, answers.length, 'neither a full server nor the one that failed is asked again');
		assert.deepEqual(fixture.noted.filter(stage => stage === 'server full' || stage === 'attempt failed'), ['server full', 'server full', 'server full', 'attempt failed']);
	});

	it('answers no-capacity, not backend-failed, when no server can be reached', async () => {
		const fixture = createFixture(() => 'unreachable');
		const {end} = await fixture.runRequest();
		assert.equal(end.kind, 'failed');
		assert.deepEqual(end.kind === 'failed' && [end.problem.kind, end.problem.outcome, end.problem.retryAfterMs], ['no-capacity', 'not-run', 1000]);
	});

	for (const [reason, outcome] of [['duplicate', 'may-have-run'], ['leaving', 'not-run']] as const) {
		it(`reports ${outcome} when every prefill is refused as ${reason}`, async () => {
			const refused: EngineFailure = {
				kind: 'refused', reason, server: 'p1', message: reason, retryAfterMs: undefined,
			};
			const {end} = await createFixture(() => 'room', {prefill: refused}).runRequest();
			assert.equal(end.kind === 'failed' && end.problem.outcome, outcome);
		});
	}

	it('charges a failure to the retry budget', async () => {
		const fixture = createFixture((_server, asked) => asked === 1 ? 'broken' : 'full');
		const {end} = await fixture.runRequest();
		assert.equal(end.kind, 'bounced');
		assert.equal(fixture.spent(), 0.25);
	});
});
