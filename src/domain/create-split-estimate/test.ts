import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createSplitEstimate, type SplitEstimate} from './index.js';

function see(split: SplitEstimate, count: number, {promptMs, tokens, heldMs}: {promptMs: number; tokens: number; heldMs: number}): void {
	for (let i = 0; i < count; i++) {
		split.notePrefill('p', promptMs);
		split.noteReservation('p', {tokens, heldMs});
	}
}

/*
 * The tests use prompts of 3,200 tokens that take 96 ms, and answers of 800 tokens
 * that hold their reservation for 3.3 s. In a pool of thirteen servers, five prefill
 * servers would be partly idle while bursts find decode memory full; with two, prompts
 * would queue.
 */
describe('createSplitEstimate', () => {
	it('gives no estimate before it has enough samples of both sides', () => {
		const split = createSplitEstimate();
		see(split, 19, {promptMs: 96, tokens: 4000, heldMs: 3300});
		assert.equal(split.toPrefillShare('p', {slots: 12, memoryTokens: 33_466}), undefined);
		see(split, 1, {promptMs: 96, tokens: 4000, heldMs: 3300});
		assert.ok(split.toPrefillShare('p', {slots: 12, memoryTokens: 33_466}) !== undefined);
	});

	it('assigns four of thirteen servers to prefill where memory is the bottleneck, and two of six with more memory', () => {
		const split = createSplitEstimate();
		see(split, 100, {promptMs: 96, tokens: 4000, heldMs: 3300});
		assert.equal(Math.ceil(13 * split.toPrefillShare('p', {slots: 12, memoryTokens: 33_466})!), 4);
		assert.equal(Math.ceil(6 * split.toPrefillShare('p', {slots: 128, memoryTokens: 42_606})!), 2);
	});

	it('uses slots where they are scarcer than memory', () => {
		const split = createSplitEstimate();
		see(split, 100, {promptMs: 96, tokens: 4000, heldMs: 3300});
		const byMemory = split.toPrefillShare('p', {slots: 100, memoryTokens: 40_000})!;
		const bySlots = split.toPrefillShare('p', {slots: 4, memoryTokens: 40_000})!;
		assert.ok(bySlots < byMemory);
		assert.equal(split.toPrefillShare('p', {slots: 10, memoryTokens: undefined}), split.toPrefillShare('p', {slots: 10, memoryTokens: 40_000}));
	});

	it('adapts to a changed load within a few hundred requests', () => {
		const split = createSplitEstimate();
		see(split, 200, {promptMs: 96, tokens: 4000, heldMs: 3300});
		see(split, 300, {promptMs: 200, tokens: 7000, heldMs: 1000});
		const fresh = createSplitEstimate();
		see(fresh, 300, {promptMs: 200, tokens: 7000, heldMs: 1000});
		assert.ok(Math.abs(split.toPrefillShare('p', {slots: 12, memoryTokens: 33_466})! - fresh.toPrefillShare('p', {slots: 12, memoryTokens: 33_466})!) < 0.01);
	});

	it('grows with the cost of prompts, falls with the cost of answers, and stays between 0 and 1 (property)', () => {
		const ms = fc.integer({min: 1, max: 100_000});
		fc.assert(fc.property(ms, ms, fc.integer({min: 1, max: 100_000}), (promptMs, heldMs, tokens) => {
			const toShare = (prompt: number, held: number): number => {
				const split = createSplitEstimate();
				see(split, 20, {promptMs: prompt, tokens, heldMs: held});
				return split.toPrefillShare('p', {slots: 12, memoryTokens: 33_466})!;
			};

			const share = toShare(promptMs, heldMs);
			assert.ok(share > 0 && share < 1);
			assert.ok(toShare(promptMs * 2, heldMs) > share);
			assert.ok(toShare(promptMs, heldMs * 2) < share);
		}));
	});
});
