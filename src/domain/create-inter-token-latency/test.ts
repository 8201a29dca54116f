import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createInterTokenLatency} from './index.js';

/** Records tokens with `stepMs` between them, in chunks of half a second. */
const noteFor = (latency: ReturnType<typeof createInterTokenLatency>, stepMs: number, fromMs: number, toMs: number): void => {
	for (let now = fromMs + 500; now <= toMs; now += 500) {
		latency.note('d1', {tokens: 500 / stepMs, tookMs: 500}, now);
	}
};

describe('createInterTokenLatency', () => {
	it('uses the report of a server without observations', () => {
		assert.equal(createInterTokenLatency().read('d1', 20, 0), 20);
	});

	it('estimates twice the latency after a second of one stream at a quarter of the rate, and more the longer the stream lasts', () => {
		const latency = createInterTokenLatency();
		noteFor(latency, 20, 0, 10_000);
		noteFor(latency, 80, 10_000, 11_000);
		assert.ok(latency.read('d1', 20, 11_000) > 40);
		noteFor(latency, 80, 11_000, 16_000);
		assert.ok(latency.read('d1', 20, 16_000) > 61);
	});

	it('returns gradually to the report without new observations', () => {
		const latency = createInterTokenLatency({halfLifeMs: 10_000});
		noteFor(latency, 80, 0, 5000);
		const steps = [5000, 15_000, 25_000, 45_000, 65_000].map(now => latency.read('d1', 20, now));
		assert.deepEqual(steps, steps.toSorted((a, b) => b - a));
		assert.ok(steps[1]! > 50 && steps[2]! > 40 && steps[4]! < 25, steps.join(', '));
	});

	it('is hardly affected by a short stall of one stream', () => {
		const latency = createInterTokenLatency();
		noteFor(latency, 20, 0, 5000);
		latency.note('d1', {tokens: 1, tookMs: 100}, 5000);
		assert.ok(latency.read('d1', 20, 5000) < 25);
	});

	it('stays within the range of observations and report (property)', () => {
		const seen = fc.record({tokens: fc.integer({min: 1, max: 100}), stepMs: fc.integer({min: 1, max: 1000}), afterMs: fc.nat(5000)});
		fc.assert(fc.property(fc.array(seen, {minLength: 1}), fc.integer({min: 1, max: 1000}), (notes, reportedMs) => {
			const latency = createInterTokenLatency();
			let now = 0;
			for (const {tokens, stepMs, afterMs} of notes) {
				now += afterMs;
				latency.note('d1', {tokens, tookMs: tokens * stepMs}, now);
			}

			const all = [reportedMs, ...notes.map(note => note.stepMs)];
			const step = latency.read('d1', reportedMs, now);
			assert.ok(step >= Math.min(...all) - 1e-6 && step <= Math.max(...all) + 1e-6);
		}));
	});
});
