/**
 * How long a transfer of a KV cache may take before it is given up and the work
 * tried again elsewhere. A prefill's result lives under a second, so a transfer
 * that stalls has nothing left to wait for; and one token target is short
 * enough that what a second try takes matters.
 *
 * Each pair of zones has its own pace, learnt from the transfers between them.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type ZoneId} from '../../ports/ids.js';

export type TransferLink = {from: ZoneId; to: ZoneId};

export type TransferTimeouts = {
	/** Time that a transfer may take; `Infinity` while nothing is known of the link. */
	toTimeoutMs: (link: TransferLink, bytes: number) => Milliseconds;
	/** A transfer came to its end. */
	noteDone: (link: TransferLink, bytes: number, tookMs: Milliseconds) => void;
	/** A transfer was given up after this time. */
	noteTimedOut: (link: TransferLink, bytes: number, afterMs: Milliseconds) => void;
};

/** Allowed beyond the pace: a pause of a process or a lost packet or two is no stall. */
const graceMs = 250;

/** Transfers that share the link make one this many times as slow without any fault. */
const rateFactor = 4;

/** Weight of one transfer in the pace. */
const gain = 0.05;

/**
 * Weight of one that was given up. The time it would have taken is not known;
 * without a large step up a link that has become slow for all would have every
 * transfer given up, and every prefill wasted.
 */
const timedOutGain = 0.25;

/** Transfers of a link that must have ended before it is trusted. */
const minSamples = 5;

type LinkRate = {msPerByte: number; samples: number};

const toKey = ({from, to}: TransferLink): string => JSON.stringify([from, to]);

/**
 * Creates the limits of one entry process.
 *
 * @returns functions that tell a limit and that learn; they keep a few numbers for each pair of zones.
 * @example
 * const limits = createTransferLimits();
 * const link = {from: 'dvorana-a', to: 'dvorana-a'};
 * limits.toLimitMs(link, 1e8); // Infinity
 * for (let i = 0; i < 5; i++) {
 * 	limits.noteDone(link, 1e8, 40);
 * }
 *
 * limits.toLimitMs(link, 1e8); // 410
 */
export function createTransferTimeouts(): TransferTimeouts {
	const rates = new Map<string, LinkRate>();

	function add(link: TransferLink, msPerByte: number, weight: number): void {
		const key = toKey(link);
		const {msPerByte: mean, samples} = rates.get(key) ?? {msPerByte: 0, samples: 0};
		const step = Math.max(weight, 1 / (samples + 1));
		rates.set(key, {msPerByte: mean + ((msPerByte - mean) * step), samples: samples + 1});
	}

	return {
		toTimeoutMs(link, bytes) {
			const rate = rates.get(toKey(link));
			return rate === undefined || rate.samples < minSamples ? Infinity : graceMs + (rateFactor * rate.msPerByte * bytes);
		},
		noteDone(link, bytes, tookMs) {
			if (bytes > 0) {
				add(link, tookMs / bytes, gain);
			}
		},
		noteTimedOut(link, bytes, afterMs) {
			if (bytes > 0) {
				add(link, afterMs / bytes, timedOutGain);
			}
		},
	};
}
