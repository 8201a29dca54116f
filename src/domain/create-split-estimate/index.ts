/**
 * Estimates how a pool's servers are best split between prefill and decode, from the
 * measured costs of requests on both sides.
 */
import {type Milliseconds} from '../../ports/clock.js';

/** Capacity of a decode server. */
export type DecodeCapacity = {
	/** Number of requests that a decode server can run at a time. */
	slots: number;
	/** Number of tokens that its memory holds; `undefined` where only slots are known. */
	memoryTokens: number | undefined;
};

export type HeldReservation = {
	/** Number of reserved tokens. */
	tokens: number;
	/** Time from the reservation to the end of the answer, milliseconds. */
	heldMs: Milliseconds;
};

export type SplitEstimate = {
	/** Records the duration of a prefill on an idle server. */
	notePrefill: (pool: string, tookMs: Milliseconds) => void;
	/** Records the reservation of an answer that completed. */
	noteReservation: (pool: string, place: HeldReservation) => void;
	/** Share of the pool's servers that should do prefill; `undefined` while there are too few samples. */
	toPrefillShare: (pool: string, bounds: DecodeCapacity) => number | undefined;
	/** Drops the state of pools that are no longer published. */
	keepOnly: (pools: ReadonlySet<string>) => void;
};

/** Weight of the newest request; the moving average covers about fifty requests, a few seconds on a busy host. */
const gain = 0.02;

/** Number of requests needed on each side before there is an estimate; lengths vary by half of their mean. */
const minSamples = 20;

/**
 * Factor by which prefill capacity exceeds the measured prefill work. A prompt waits
 * for the prompts before it on its server, and delays the first event, which must
 * arrive within a second; a brief shortage of decode memory delays only a few
 * requests. In the model of the bench `split-pool`, a factor of 1.4 gives six servers
 * the best split, with 0.91 of the requests in time (0.77 with one more prefill
 * server), and thirteen servers the second best, four prefill servers: 0.92 in time
 * (0.95 with three, 0.86 with five). The fourth covers lost servers: when a quarter of
 * the servers was lost, three prefill servers served less.
 */
const prefillHeadroom = 1.4;

type Mean = {value: number; samples: number};

function addSample({value, samples}: Mean, sample: number): Mean {
	// The first samples form an arithmetic mean; otherwise the first one would dominate the next fifty.
	const weight = Math.max(gain, 1 / (samples + 1));
	return {value: value + (weight * (sample - value)), samples: samples + 1};
}

type Costs = {prefillMs: Mean; slotMs: Mean; tokenMs: Mean};

const emptyMean: Mean = {value: 0, samples: 0};
const noCosts: Costs = {prefillMs: emptyMean, slotMs: emptyMean, tokenMs: emptyMean};

/**
 * Creates the estimate of one host. The host's requests are a sample of all requests,
 * and only the ratio of the two costs matters, so hosts need not exchange anything.
 *
 * @returns See {@link SplitEstimate}.
 *
 * @example
 * ```ts
 * const split = createSplitEstimate();
 * // After twenty prompts of 96 ms, and twenty reservations of 4,000 tokens held for 3,300 ms:
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

			// Time of a whole decode server that one answer uses, by slots or by memory, whichever is scarcer.
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
