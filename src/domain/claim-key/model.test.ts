/*
 * A caller sends the same billed request to several hosts. Hosts are killed,
 * replaced while the old process runs on behind a partition, paused between grant
 * and dispatch, or restarted gracefully; clocks are two minutes off; requests,
 * answers and releases are late or lost; the host list changes on one side only. In
 * no order may two claimants dispatch the request, nor may one report "not run" after
 * another has dispatched it. With any safeguard disabled the same search must find an
 * order that breaks this.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createFleet, step, type Scope} from './_test/fleet-model.js';

const masked: Scope = {
	zones: 5, twins: 1, listChanges: 1, omit: [], isTakenOnce: true, keepsRelease: true,
};
const plain: Scope = {
	zones: 3, quorum: 2, twins: 0, listChanges: 0, omit: [], isTakenOnce: true, keepsRelease: true,
};

function explore(scope: Scope, numRuns: number) {
	let dispatched = 0;
	const onDispatch = () => {
		dispatched++;
	};

	const property = fc.property(fc.array(step, {minLength: 10, maxLength: 60, size: 'max'}), all => {
		const apply = createFleet(scope, onDispatch);
		for (const one of all) {
			apply(one);
		}
	});
	const details = fc.check(property, {seed: 20_261_202, numRuns, endOnFailure: true});
	return {details, dispatched};
}

describe('claims model', () => {
	const whole = [
		{name: 'any two of five hosts at fault: an old twin and a list change', scope: masked},
		{name: 'a majority of three where no twin is possible', scope: plain},
	];
	for (const {name, scope} of whole) {
		it(`finds no order in which a key runs twice: ${name}`, () => {
			const {details, dispatched} = explore(scope, 6000);
			assert.equal(details.failed, false, `after ${details.numRuns} runs: ${String(details.errorInstance)}`);
			assert.ok(dispatched > details.numRuns / 10, `only ${dispatched} dispatches in ${details.numRuns} runs: the search shows little`);
		});
	}

	const broken: Array<{name: string; scope: Scope}> = [
		{name: 'a majority in place of the masking quorum, with an old twin', scope: {...masked, quorum: 3, listChanges: 0}},
		{name: 'a majority in place of the masking quorum, with a list change', scope: {...plain, listChanges: 1}},
		{name: 'claims that may be overwritten', scope: {...plain, omit: ['write-once']}},
		{name: 'no abstention after a restart', scope: {...plain, omit: ['restart-abstention']}},
		{name: 'no floor below which dropped claims are refused', scope: {...plain, omit: ['retention-floor']}},
		{name: 'releases that do not name their claim', scope: {...plain, omit: ['claim-id']}},
		{name: 'a table that goes on granting after its hand-over', scope: {...plain, omit: ['freeze']}},
		{name: 'a hand-over that two successors adopt', scope: {...plain, isTakenOnce: false}},
		{name: 'a claimant that dispatches after it released its claim', scope: {...plain, keepsRelease: false}},
	];
	for (const {name, scope} of broken) {
		it(`finds the fault: ${name}`, () => {
			const {details} = explore(scope, 20_000);
			assert.equal(details.failed, true, 'no counterexample found');
			assert.match(String(details.errorInstance), /dispatched twice|not run/v);
		});
	}
});
