import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {judgeSample, type SampleEnd, type Verdict} from './index.js';

describe('judgeSample', () => {
	const target = {firstTokenMs: 1300, perTokenMs: 61, completeMs: 10_000};
	const rows: Array<[SampleEnd, number | undefined, number | undefined, number, Verdict]> = [
		['complete', 1300, 61, 10_000, []],
		['complete', 1301, 61, 10_000, ['lateFirstToken']],
		['complete', 1000, 62, 10_001, ['latePerToken', 'lateComplete']],
		['complete', undefined, undefined, 5, []],
		['refused', undefined, undefined, 20_000, ['refused']],
		['failed', 10, undefined, 50, ['failed']],
		['failed', 2000, 70, 50, ['failed', 'lateFirstToken', 'latePerToken']],
		['gone', undefined, undefined, 1300, undefined],
		['gone', undefined, undefined, 1301, ['lateFirstToken']],
		['gone', 200, 20, 5000, undefined],
		['gone', 200, 80, 5000, ['latePerToken']],
		['gone', undefined, undefined, 10_001, ['lateFirstToken', 'lateComplete']],
	];
	for (const [end, firstTokenMs, perTokenMs, completeMs, expected] of rows) {
		it(`judges ${end} at ${firstTokenMs}, ${perTokenMs}, ${completeMs} ms as ${JSON.stringify(expected) ?? 'not counted'}`, () => {
			assert.deepEqual(judgeSample({
				class: 'quick', workspace: 'w', rule: 'r', end, firstTokenMs, perTokenMs, completeMs, target,
			}), expected);
		});
	}
});
