import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {pickVersion} from './index.js';

describe('pickVersion', () => {
	it('returns no version when the rule names none', () => {
		assert.equal(pickVersion({versions: []}, () => 0.5), undefined);
	});

	it('gives each version exactly its share of evenly spread numbers', () => {
		fc.assert(fc.property(fc.array(fc.nat(20), {minLength: 1, maxLength: 5}).filter(weights => weights.some(weight => weight > 0)), weights => {
			const versions = weights.map((weight, i) => ({version: `v${i}`, weight}));
			const total = weights.reduce((sum, weight) => sum + weight, 0);
			const counts = new Map<string | undefined, number>();
			for (let i = 0; i < total; i++) {
				const version = pickVersion({versions}, () => (i + 0.5) / total);
				counts.set(version, (counts.get(version) ?? 0) + 1);
			}

			assert.deepEqual(versions.map(({version}) => counts.get(version) ?? 0), weights);
		}));
	});

	it('picks a version with weight for the largest number below 1', () => {
		assert.equal(pickVersion({versions: [{version: 'a', weight: 1}, {version: 'b', weight: 0}]}, () => 1 - Number.EPSILON), 'a');
	});
});
