import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type ConfigVersion} from '../../ports/config.js';
import {compareConfigVersions} from './index.js';

const anyVersion: fc.Arbitrary<ConfigVersion> = fc.record({edition: fc.nat(3), revision: fc.nat(3), digest: fc.constantFrom('a', 'b', 'c')});

describe('compareConfigVersions', () => {
	it('puts edition before revision before digest', () => {
		const rows = [[1, 9, 'z'], [2, 1, 'b'], [2, 1, 'c'], [2, 2, 'a']] as const;
		const versions = rows.map(([edition, revision, digest]): ConfigVersion => ({edition, revision, digest}));
		assert.deepEqual(versions.toReversed().toSorted(compareConfigVersions), versions);
	});

	it('is a total order', () => {
		fc.assert(fc.property(anyVersion, anyVersion, anyVersion, (a, b, c) => {
			assert.equal(Math.sign(compareConfigVersions(a, b)), -Math.sign(compareConfigVersions(b, a)) + 0);
			assert.equal(compareConfigVersions(a, b) === 0, JSON.stringify(a) === JSON.stringify(b));
			if (compareConfigVersions(a, b) <= 0 && compareConfigVersions(b, c) <= 0) {
				assert.ok(compareConfigVersions(a, c) <= 0);
			}
		}));
	});
});
