/**
 * Timeouts for KV cache transfers, after which the request is retried elsewhere. The
 * result of a prefill lives less than a second, so waiting for a stalled transfer is
 * useless; and the first-token target is so short that the time for a second attempt
 * matters.
 *
 * The timeout of each pair of zones is learned from the transfers between them.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type ZoneId} from '../../ports/ids.js';

export type TransferLink = {from: ZoneId; to: ZoneId};

export type TransferTimeouts = {
	/** Timeout of a transfer, milliseconds; `Infinity` while too few transfers of the link have ended. */
	toTimeoutMs: (link: TransferLink, bytes: number) => Milliseconds;
	/** Records a completed transfer. */
	noteDone: (link: TransferLink, bytes: number, tookMs: Milliseconds) => void;
	/** Records a transfer that was aborted after this time. */
	noteTimedOut: (link: TransferLink, bytes: number, afterMs: Milliseconds) => void;
};

/** Constant part of the timeout, so that a short process pause or a few lost packets don't count as a stall. */
const graceMs = 250;

/** Factor by which other transfers on the same link may slow a transfer down without any fault. */
const rateFactor = 4;

/** Weight of one completed transfer in the moving average. */
const gain = 0.05;

/**
 * Weight of an aborted transfer, whose full duration is unknown. Without a large step
 * up, all transfers would be aborted and their prefills wasted after a link has
 * become slow for every transfer.
 */
const timedOutGain = 0.25;

/** Number of transfers of a link that must have ended before it has a timeout. */
const minSamples = 5;

type LinkRate = {msPerByte: number; samples: number};

const toKey = ({from, to}: TransferLink): string => JSON.stringify([from, to]);

/**
 * Creates the timeouts of one entry process.
 *
 * @returns Functions that compute a timeout and that record transfers; they keep two numbers per pair of zones.
 * @example
 * const timeouts = createTransferTimeouts();
 * const link = {from: 'dvorana-a', to: 'dvorana-a'};
 * timeouts.toTimeoutMs(link, 1e8); // Infinity
 * for (let i = 0; i < 5; i++) {
 * 	timeouts.noteDone(link, 1e8, 40);
 * }
 *
 * timeouts.toTimeoutMs(link, 1e8); // 410
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
