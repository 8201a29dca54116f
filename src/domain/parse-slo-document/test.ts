import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {readBack, runSteps, steps} from '../_test/slo-steps.js';
import {parseSloDocument} from './index.js';

describe('parseSloDocument', () => {
	it('reads back any document that a ledger wrote', () => {
		fc.assert(fc.property(steps, given => {
			const {document} = runSteps(given);
			assert.deepEqual(parseSloDocument(readBack(document))._unsafeUnwrap(), document);
		}), {numRuns: 30});
	});

	for (const [value, message] of [
		[undefined, /the document/],
		[{version: 2, hosts: [], series: []}, /^version/],
		[{version: 1, hosts: [], series: [{scope: 'class'}]}, /^series\.0\.class/],
		[{version: 1, hosts: [1], series: []}, /^hosts\.0/],
	] as const) {
		it(`refuses ${JSON.stringify(value) ?? 'nothing'}`, () => {
			assert.match(parseSloDocument(value)._unsafeUnwrapErr(), message);
		});
	}
});
