import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ObservedTokens} from '../../../../domain/create-inter-token-latency/index.js';
import {createPaceMeter, type PaceMeter} from './create-pace-meter.js';

/** Runs the steps, each at its time, and returns the samples. */
function measure(steps: ReadonlyArray<[number, (meter: PaceMeter) => void]>): ObservedTokens[] {
	const noted: ObservedTokens[] = [];
	let now = 0;
	const meter = createPaceMeter(() => now, seen => noted.push(seen));
	for (const [at, step] of steps) {
		now = at;
		step(meter);
	}

	return noted;
}

const add = (count: number) => (meter: PaceMeter) => {
	meter.add(count);
};

const stop = (meter: PaceMeter) => {
	meter.stop();
};

describe('createPaceMeter', () => {
	const heldUp: Parameters<typeof measure>[0] = [[0, add(1)], [80, add(1)], [80, stop], [9000, add(40)], [9080, add(1)], [9080, stop]];
	const rows: Array<[string, Parameters<typeof measure>[0], ObservedTokens[]]> = [
		['takes no sample of a stream with a single chunk', [[1000, add(5)], [1100, stop]], []],
		['leaves out the first chunk, and the time before it', [[1000, add(1)], [1080, add(1)], [1160, add(2)], [5000, stop]], [{tokens: 3, tookMs: 160}]],
		['takes samples during the stream', [[0, add(1)], [300, add(3)], [600, add(3)], [700, add(1)], [700, stop]], [{tokens: 6, tookMs: 600}, {tokens: 1, tookMs: 100}]],
		['leaves out the time in which the caller or a break delayed the stream', heldUp, [{tokens: 1, tookMs: 80}, {tokens: 1, tookMs: 80}]],
	];
	for (const [name, steps, expected] of rows) {
		it(name, () => {
			assert.deepEqual(measure(steps), expected);
		});
	}
});
