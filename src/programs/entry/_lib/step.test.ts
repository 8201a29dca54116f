import assert from 'node:assert/strict';
import {once} from 'node:events';
import {performance} from 'node:perf_hooks';
import {describe, it} from 'node:test';
import {errAsync, okAsync} from 'neverthrow';
import {createStepSignal, runStep} from './step.js';

const never = () => new AbortController().signal;

describe('createStepSignal', () => {
	it('fires when the time of a step is over', async () => {
		const step = createStepSignal(never(), () => performance.now());
		step.arm(5);
		await once(step.signal, 'abort', {signal: AbortSignal.timeout(10_000)});
		assert.equal(step.isTimedOut(), true);
	});

	it('fires at once when there is no time', () => {
		const step = createStepSignal(never(), () => 0);
		step.arm(0);
		assert.equal(step.isTimedOut() && step.signal.aborted, true);
	});

	it('fires with its parent, which is no time-out', () => {
		const parent = new AbortController();
		const step = createStepSignal(parent.signal, () => 0);
		step.arm(1000);
		parent.abort();
		assert.deepEqual([step.signal.aborted, step.isTimedOut()], [true, false]);
		step.close();
	});

	it('lets sockets be read before it gives a step up after a pause', async () => {
		let time = 0;
		const step = createStepSignal(never(), () => time);
		const startedAt = performance.now();
		step.arm(5);
		time = 60_000;
		await once(step.signal, 'abort', {signal: AbortSignal.timeout(10_000)});
		assert.ok(performance.now() - startedAt > 200);
	});
});

describe('runStep', () => {
	const options = {limitMs: 1000, server: 's'};

	it('sends nothing once the time is over', async () => {
		let calls = 0;
		const result = await runStep(createStepSignal(never(), () => 0), {...options, limitMs: -1}, () => {
			calls++;
			return okAsync(1);
		});
		assert.equal(calls, 0);
		assert.deepEqual([result._unsafeUnwrapErr().isUnsent, result._unsafeUnwrapErr().isTimedOut], [true, true]);
	});

	it('passes a failure on', async () => {
		const step = createStepSignal(never(), () => 0);
		const result = await runStep(step, options, () => errAsync({
			kind: 'refused', reason: 'full', server: 's', message: 'full', retryAfterMs: undefined,
		}));
		step.close();
		assert.deepEqual([result._unsafeUnwrapErr().reason, result._unsafeUnwrapErr().isTimedOut, result._unsafeUnwrapErr().isUnsent], ['full', false, false]);
	});
});
