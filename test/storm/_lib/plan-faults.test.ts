import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createRandom} from './create-random.js';
import {planFaults, type FaultTargets} from './plan-faults.js';
import {type FaultKind, type PlannedFault} from './types.js';

const durationMs = 25_000;
const place: FaultTargets = {
	hosts: ['a-1', 'b-1', 'c-1'], zones: ['a', 'b', 'c'], engines: ['a-prefill-1', 'a-decode-1'], decodes: ['a-decode-1'], desks: ['a-desk-1'],
};

/** Checks a property on the plans of arbitrary seeds. */
function assertAlways(isRight: (plan: readonly PlannedFault[], seed: number) => boolean): void {
	fc.assert(fc.property(fc.nat(), seed => isRight(planFaults(place, {durationMs, meanIntervalMs: 800}, createRandom(seed)), seed)));
}

describe('planFaults', () => {
	for (const kind of ['cross streams', 'old platform', 'crash engine', 'twin host', 'cut zones one way', 'restart host'] satisfies FaultKind[]) {
		it(`includes "${kind}" in every storm, before its last fifth`, () => {
			assertAlways(plan => plan.some(fault => fault.kind === kind && fault.atMs < 0.8 * durationMs));
		});
	}

	it('serves an old document from the platform after a good edit', () => {
		assertAlways(plan => {
			const kinds = plan.map(({kind}) => kind);
			return kinds.indexOf('publish good') < kinds.lastIndexOf('old platform');
		});
	});

	it('orders faults by time and ends with a good edit', () => {
		assertAlways(plan => plan.at(-1)!.kind === 'publish good' && plan.every(({atMs}, i) => i === 0 || plan[i - 1]!.atMs <= atMs));
	});

	it('draws the same faults from the same seed', () => {
		assertAlways((plan, seed) => JSON.stringify(plan) === JSON.stringify(planFaults(place, {durationMs, meanIntervalMs: 800}, createRandom(seed))));
	});
});
