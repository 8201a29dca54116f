import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createInterTokenLatency} from './index.js';

/** Notes half a second of tokens, each `stepMs` after the last, again and again. */
const noteFor = (pace: ReturnType<typeof createInterTokenLatency>, stepMs: number, fromMs: number, toMs: number): void => {
	for (let now = fromMs + 500; now <= toMs; now += 500) {
		pace.note('d1', {tokens: 500 / stepMs, tookMs: 500}, now);
	}
};

describe('createInterTokenLatency', () => {
	it('believes the report of a server that it has seen nothing of', () => {
		assert.equal(createInterTokenLatency().read('d1', 20, 0), 20);
	});

	it('takes a server for twice as slow after a second of one stream at a quarter of the rate, and for slower the longer it lasts', () => {
		const pace = createInterTokenLatency();
		noteFor(pace, 20, 0, 10_000);
		noteFor(pace, 80, 10_000, 11_000);
		assert.ok(pace.read('d1', 20, 11_000) > 40);
		noteFor(pace, 80, 11_000, 16_000);
		assert.ok(pace.read('d1', 20, 16_000) > 61);
	});

	it('returns to the report little by little once it sees no more', () => {
		const pace = createInterTokenLatency({halfLifeMs: 10_000});
		noteFor(pace, 80, 0, 5000);
		const steps = [5000, 15_000, 25_000, 45_000, 65_000].map(now => pace.read('d1', 20, now));
		assert.deepEqual(steps, steps.toSorted((a, b) => b - a));
		assert.ok(steps[1]! > 50 && steps[2]! > 40 && steps[4]! < 25, steps.join(', '));
	});

	it('does not let a short hiccup of one stream speak against a server', () => {
		const pace = createInterTokenLatency();
		noteFor(pace, 20, 0, 5000);
		pace.note('d1', {tokens: 1, tookMs: 100}, 5000);
		assert.ok(pace.read('d1', 20, 5000) < 25);
	});

	it('expects nothing outside of what was seen and reported (property)', () => {
		const seen = fc.record({tokens: fc.integer({min: 1, max: 100}), stepMs: fc.integer({min: 1, max: 1000}), afterMs: fc.nat(5000)});
		fc.assert(fc.property(fc.array(seen, {minLength: 1}), fc.integer({min: 1, max: 1000}), (notes, reportedMs) => {
			const pace = createInterTokenLatency();
			let now = 0;
			for (const {tokens, stepMs, afterMs} of notes) {
				now += afterMs;
				pace.note('d1', {tokens, tookMs: tokens * stepMs}, now);
			}

			const all = [reportedMs, ...notes.map(note => note.stepMs)];
			const step = pace.read('d1', reportedMs, now);
			assert.ok(step >= Math.min(...all) - 1e-6 && step <= Math.max(...all) + 1e-6);
		}));
	});
});
