/**
 * Learns how a pool's servers are best split between prefill and decode, from
 * what requests cost on either side.
 */
import {type Milliseconds} from '../../ports/clock.js';

/** What a place at a decode server is measured by. */
export type DecodeCapacity = {
	/** Requests that a decode server generates at a time. */
	slots: number;
	/** Tokens that its memory holds; `undefined` where only slots are known. */
	memoryTokens: number | undefined;
};

export type HeldReservation = {
	/** Tokens that were reserved. */
	tokens: number;
	/** Time from the reservation to the end of the answer. */
	heldMs: Milliseconds;
};

export type SplitEstimate = {
	/** A prefill server that had nothing else to do computed a prompt. */
	notePrefill: (pool: string, tookMs: Milliseconds) => void;
	/** An answer ended well, and its place at the decode server is free again. */
	noteReservation: (pool: string, place: HeldReservation) => void;
	/** Part of the pool's servers that should compute prompts; `undefined` while too little is known. */
	toPrefillShare: (pool: string, bounds: DecodeCapacity) => number | undefined;
	/** Forgets pools that are no longer published. */
	keepOnly: (pools: ReadonlySet<string>) => void;
};

/** Weight of the newest request: the mean reaches back over some fifty, a few seconds of a busy host. */
const gain = 0.02;

/** Requests seen on each side before the estimate is given; lengths spread by half their mean. */
const minSamples = 20;

/**
 * Prefill servers get room for so many times their part of the work. A prompt
 * waits for the ones before it at its server, and with it the first event, which
 * is owed within a second; decode memory that is short for a moment makes a few
 * wait. In the model of the bench `split-pool` 1.4 gives six servers the best
 * split, 0.91 in time for 0.77 with one prefill server more, and thirteen the
 * second best, four: 0.92 for 0.95 with three and 0.86 with five. The fourth is
 * for lost servers: on a day that loses a quarter of them, three served less.
 */
const prefillHeadroom = 1.4;

type Mean = {value: number; samples: number};

function addSample({value, samples}: Mean, sample: number): Mean {
	// The plain mean of the first ones: the very first alone would stand for the next fifty.
	const weight = Math.max(gain, 1 / (samples + 1));
	return {value: value + (weight * (sample - value)), samples: samples + 1};
}

type Costs = {prefillMs: Mean; slotMs: Mean; tokenMs: Mean};

const emptyMean: Mean = {value: 0, samples: 0};
const noCosts: Costs = {prefillMs: emptyMean, slotMs: emptyMean, tokenMs: emptyMean};

/**
 * Creates the estimate of one host. Its own requests are a sample of all, and
 * only the proportion of the two costs counts, so nothing need be told between
 * hosts.
 *
 * @returns Functions that note what requests cost and tell the share.
 *
 * @example
 * ```ts
 * const split = createSplitEstimate();
 * // After twenty prompts of 96 ms, and twenty places of 4,000 tokens held for 3,300 ms:
 * split.toPrefillShare('model', {slots: 12, memoryTokens: 33_466}); // => 0.25
 * ```
 */
export function createSplitEstimate(): SplitEstimate {
	const costs = new Map<string, Costs>();
	const read = (pool: string): Costs => costs.get(pool) ?? noCosts;
	return {
		notePrefill(pool, tookMs) {
			const known = read(pool);
			costs.set(pool, {...known, prefillMs: addSample(known.prefillMs, tookMs)});
		},
		noteReservation(pool, {tokens, heldMs}) {
			const known = read(pool);
			costs.set(pool, {...known, slotMs: addSample(known.slotMs, heldMs), tokenMs: addSample(known.tokenMs, tokens * heldMs)});
		},
		toPrefillShare(pool, {slots, memoryTokens}) {
			const {prefillMs, slotMs, tokenMs} = read(pool);
			if (prefillMs.samples < minSamples || slotMs.samples < minSamples) {
				return undefined;
			}

			// Time of a whole decode server that one answer takes: by its slots or its memory, whichever is shorter.
			const answerMs = Math.max(slotMs.value / slots, memoryTokens === undefined ? 0 : tokenMs.value / memoryTokens);
			const neededMs = prefillHeadroom * prefillMs.value;
			return neededMs / (neededMs + answerMs);
		},
		keepOnly(pools) {
			for (const pool of costs.keys()) {
				if (!pools.has(pool)) {
					costs.delete(pool);
				}
			}
		},
	};
}
