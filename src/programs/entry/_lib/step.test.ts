import assert from 'node:assert/strict';
import {once} from 'node:events';
import {performance} from 'node:perf_hooks';
import {describe, it} from 'node:test';
import {errAsync, okAsync} from 'neverthrow';
import {createStepSignal, runStep} from './step.js';

const never = () => new AbortController().signal;

describe('createStepSignal', () => {
	it('aborts when a step times out', async () => {
		const step = createStepSignal(never(), () => performance.now());
		step.arm(5);
		await once(step.signal, 'abort', {signal: AbortSignal.timeout(10_000)});
		assert.equal(step.isTimedOut(), true);
	});

	it('aborts at once when no time is left', () => {
		const step = createStepSignal(never(), () => 0);
		step.arm(0);
		assert.equal(step.isTimedOut() && step.signal.aborted, true);
	});

	it('aborts with its parent, which is not a timeout', () => {
		const parent = new AbortController();
		const step = createStepSignal(parent.signal, () => 0);
		step.arm(1000);
		parent.abort();
		assert.deepEqual([step.signal.aborted, step.isTimedOut()], [true, false]);
		step.close();
	});

	it('leaves time to read sockets before a step times out after a pause', async () => {
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

	it('sends nothing if no time is left', async () => {
		let calls = 0;
		const result = await runStep(createStepSignal(never(), () => 0), {...options, limitMs: -1}, () => {
			calls++;
			return okAsync(1);
		});
		assert.equal(calls, 0);
		assert.deepEqual([result._unsafeUnwrapErr().isUnsent, result._unsafeUnwrapErr().isTimedOut], [true, true]);
	});

	it('returns the failure of the call', async () => {
		const step = createStepSignal(never(), () => 0);
		const result = await runStep(step, options, () => errAsync({
			kind: 'refused', reason: 'full', server: 's', message: 'full', retryAfterMs: undefined,
		}));
		step.close();
		assert.deepEqual([result._unsafeUnwrapErr().reason, result._unsafeUnwrapErr().isTimedOut, result._unsafeUnwrapErr().isUnsent], ['full', false, false]);
	});
});
