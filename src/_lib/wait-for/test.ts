import assert from 'node:assert/strict';
import {getEventListeners} from 'node:events';
import {describe, it} from 'node:test';
import {waitFor} from './index.js';

const hourMs = 3_600_000;

describe('waitFor', {timeout: 60_000}, () => {
	it('resolves at the end of the wait, and leaves no listener behind', async () => {
		const {signal} = new AbortController();
		await waitFor(1, signal);
		assert.deepEqual(getEventListeners(signal, 'abort'), []);
	});

	it('resolves at the abort, and leaves no listener behind', async () => {
		const controller = new AbortController();
		const waiting = waitFor(hourMs, controller.signal);
		controller.abort();
		await waiting;
		assert.deepEqual(getEventListeners(controller.signal, 'abort'), []);
	});

	it('does not wait when the signal has aborted before', async () => {
		await waitFor(hourMs, AbortSignal.abort());
	});
});
