import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toMutationTable, type MutantStatus, type MutationRun} from './to-mutation-table.js';

const toRun = (module: string, statuses: readonly MutantStatus[]): MutationRun => ({module, mutants: statuses.map(status => ({status})), tookMs: 90_000});

describe('toMutationTable', () => {
	it('counts killed, surviving, uncovered and ignored mutants, but not those that do not compile', () => {
		const page = toMutationTable('', [toRun('compare-eras', ['Killed', 'Timeout', 'Survived', 'NoCoverage', 'Ignored', 'CompileError'])], ['compare-eras']);
		assert.match(page, /\n\| `compare-eras` \| 4 \| 2 \| 1 \| 1 \| 1 \| 50\.0 \| 1\.5 \|\n$/v);
	});

	it('keeps the rows of modules that are not part of the run, in their order', () => {
		const order = ['first', 'second', 'third'];
		const before = toMutationTable('', [toRun('third', ['Killed']), toRun('first', ['Survived'])], order);
		const after = toMutationTable(before, [toRun('second', ['Killed']), toRun('first', ['Killed'])], order);
		assert.deepEqual(after.match(/`[a-z]+` \| 1 \| \d/gv), ['`first` | 1 | 1', '`second` | 1 | 1', '`third` | 1 | 1']);
	});

	it('drops rows of modules that are no longer listed', () => {
		const before = toMutationTable('', [toRun('old', ['Killed'])], ['old']);
		assert.doesNotMatch(toMutationTable(before, [], ['new']), /`old`/v);
	});
});
