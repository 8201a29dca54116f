/**
 * Tallies the answers of a key's witnesses so far. The function is pure, so that
 * a model can drive it through every order of messages.
 */
import {type HostId} from '../../ports/ids.js';
import {type Claim, type ClaimAnswer} from '../create-claim-witness/index.js';
import {type WitnessSet} from '../pick-witnesses/index.js';

/** Answers by host slot; `failed` for a slot that could not be asked. A slot without an entry is still being asked. */
export type ClaimAnswers = ReadonlyMap<HostId, ClaimAnswer | {kind: 'failed'}>;

export type ClaimTally =
	/** A quorum granted the claim: this claim alone may be dispatched. */
	| {kind: 'granted'}
	/** Too few answers yet. */
	| {kind: 'pending'}
	/** The key was used with another body. */
	| {kind: 'conflict'; claim: Claim}
	/** Another claim holds witnesses; `isSettled` when it is known to have a quorum. */
	| {kind: 'held'; claim: Claim; isSettled: boolean}
	/** No quorum is possible, and no other claim is known to hold the key. */
	| {kind: 'refused'};

function countKind(set: WitnessSet, answers: ClaimAnswers, kind: string): number {
	return set.slots.filter(slot => answers.get(slot)?.kind === kind).length;
}

function hasQuorum(set: WitnessSet, answers: ClaimAnswers): boolean {
	return set.slots.length > 0 && countKind(set, answers, 'granted') >= set.quorum;
}

function canReachQuorum(set: WitnessSet, answers: ClaimAnswers): boolean {
	const open = set.slots.filter(slot => !answers.has(slot)).length;
	return set.slots.length > 0 && countKind(set, answers, 'granted') + open >= set.quorum;
}

function listHeld(answers: ClaimAnswers): Array<{claim: Claim; slots: HostId[]}> {
	const byId = new Map<string, {claim: Claim; slots: HostId[]}>();
	for (const [slot, answer] of answers) {
		if (answer.kind === 'held') {
			const known = byId.get(answer.claim.claimId) ?? {claim: answer.claim, slots: []};
			byId.set(answer.claim.claimId, {...known, slots: [...known.slots, slot]});
		}
	}

	return [...byId.values()].sort((a, b) => b.slots.length - a.slots.length || (a.claim.claimId < b.claim.claimId ? -1 : 1));
}

/**
 * Tallies the answers to one claim.
 *
 * @param sets - Witnesses of the key: one set, or two while the host list has just changed; each must reach its quorum.
 * @param answers - Answers so far.
 * @param digest - Digest of the request body.
 * @returns The tally. `granted` is final: no other claim of the key can be granted.
 *
 * @example
 * ```ts
 * tallyClaims([{slots: ['a', 'b', 'c'], quorum: 3, maskedSlots: 2, survivesZone: false}], new Map(), digest);
 * // => {kind: 'pending'}
 * ```
 */
export function tallyClaims(sets: readonly WitnessSet[], answers: ClaimAnswers, digest: string): ClaimTally {
	if (sets.length > 0 && sets.every(set => hasQuorum(set, answers))) {
		return {kind: 'granted'};
	}

	const held = listHeld(answers);
	const misused = held.find(({claim}) => claim.digest !== digest);
	if (misused !== undefined) {
		return {kind: 'conflict', claim: misused.claim};
	}

	if (sets.length > 0 && sets.every(set => canReachQuorum(set, answers))) {
		return {kind: 'pending'};
	}

	const strongest = held[0];
	if (strongest !== undefined) {
		const isSettled = sets.every(set => set.slots.filter(slot => strongest.slots.includes(slot)).length >= set.quorum);
		return {kind: 'held', claim: strongest.claim, isSettled};
	}

	const hasAllAnswers = sets.every(set => set.slots.every(slot => answers.has(slot)));
	return hasAllAnswers ? {kind: 'refused'} : {kind: 'pending'};
}
