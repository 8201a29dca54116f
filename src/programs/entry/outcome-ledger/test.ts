import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createOutcomeLedger, type OutcomeLedger} from './index.js';

describe('createOutcomeLedger', () => {
	const cases: ReadonlyArray<[string, (ledger: OutcomeLedger) => void, string]> = [
		['reports not-run before any offer', () => undefined, 'not-run'],
		['reports may-have-run from the offer on', ledger => {
			ledger.noteOffered();
		}, 'may-have-run'],
		['reports not-run after the server reported that it did not start', ledger => {
			ledger.noteOffered();
			ledger.noteNotStarted();
		}, 'not-run'],
		['reports may-have-run while an earlier offer is open, although a later one was not started', ledger => {
			ledger.noteOffered();
			ledger.noteOffered();
			ledger.noteNotStarted();
		}, 'may-have-run'],
		['reports ran after a token, whatever follows', ledger => {
			ledger.noteOffered();
			ledger.noteRan(5);
			ledger.noteOffered();
			ledger.noteNotStarted();
		}, 'ran'],
	];
	for (const [name, act, outcome] of cases) {
		it(name, () => {
			const ledger = createOutcomeLedger();
			act(ledger);
			assert.equal(ledger.outcome(), outcome);
		});
	}
});
