import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ClaimAnswer} from '../create-claim-witness/index.js';
import {type ClaimAnswers, tallyClaims} from './index.js';

const set = {
	slots: ['a', 'b', 'c', 'd', 'e'], quorum: 4, maskedSlots: 2, survivesZone: true,
};
const granted: ClaimAnswer = {kind: 'granted', incarnation: 1};
const abstained: ClaimAnswer = {
	kind: 'abstained', incarnation: 1, reason: 'restarted', retryAfterMs: 1,
};
const failed = {kind: 'failed'} as const;

function toHeld(claimId: string, digest = 'd'): ClaimAnswer {
	return {
		kind: 'held', incarnation: 1, claim: {
			claimId, digest, claimant: {host: 'x', incarnation: 1, address: ''}, isRepeatable: false,
		},
	};
}

function toAnswers(...answers: Array<ClaimAnswer | typeof failed>): ClaimAnswers {
	return new Map(answers.map((answer, i) => [set.slots[i]!, answer]));
}

describe('tallyClaims', () => {
	const cases = [
		{name: 'nothing yet', answers: toAnswers(), kind: 'pending'},
		{name: 'one grant short, one slot open', answers: toAnswers(granted, granted, granted, failed), kind: 'pending'},
		{name: 'a quorum', answers: toAnswers(granted, granted, granted, granted), kind: 'granted'},
		{name: 'a quorum beside another claim', answers: toAnswers(granted, granted, granted, granted, toHeld('x')), kind: 'granted'},
		{name: 'another claim that leaves a quorum open', answers: toAnswers(toHeld('x'), granted), kind: 'pending'},
		{name: 'another claim that does not', answers: toAnswers(toHeld('x'), toHeld('x')), kind: 'held'},
		{name: 'another body', answers: toAnswers(toHeld('x', 'other')), kind: 'conflict'},
		{name: 'no quorum possible, slots open that may know the holder', answers: toAnswers(failed, abstained), kind: 'pending'},
		{name: 'no quorum possible, all slots answered', answers: toAnswers(failed, abstained, granted, granted, granted), kind: 'refused'},
	];
	for (const {name, answers, kind} of cases) {
		it(`calls ${name} ${kind}`, () => {
			assert.equal(tallyClaims([set], answers, 'd').kind, kind);
		});
	}

	it('returns the claim that holds the most witnesses, and whether it is known to have a quorum', () => {
		const split = tallyClaims([set], toAnswers(toHeld('x'), toHeld('y'), toHeld('y')), 'd');
		assert.ok(split.kind === 'held' && split.claim.claimId === 'y' && !split.isSettled);
		const settled = tallyClaims([set], toAnswers(toHeld('y'), toHeld('y'), toHeld('y'), toHeld('y')), 'd');
		assert.ok(settled.kind === 'held' && settled.isSettled);
	});

	it('needs a quorum in each set, and never grants without witnesses', () => {
		const other = {...set, slots: ['a', 'b', 'f', 'g', 'h']};
		const answers = toAnswers(granted, granted, granted, granted, granted);
		assert.equal(tallyClaims([set, other], answers, 'd').kind, 'pending');
		assert.equal(tallyClaims([], answers, 'd').kind, 'refused');
		assert.equal(tallyClaims([{...set, slots: [], quorum: 0}], answers, 'd').kind, 'refused');
	});
});
