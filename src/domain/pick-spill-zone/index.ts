import {type Milliseconds, type Random} from '../../ports/clock.js';
import {type ZoneId} from '../../ports/ids.js';

/** Another zone to which a request could go. */
export type SpillZone = {
	zone: ZoneId;
	/** 0 for a zone of the own region; a higher one is looked at only when none nearer has room. */
	distance: number;
	/** Whether the zone is not behind a cut. */
	isReachable: boolean;
	/** Requests that it could take when its summary was true. */
	free: number;
	/** Requests sent there from here since then, by this host and, as it must guess, by its neighbours. */
	spilled: number;
	/** Mean wait for a prefill there, milliseconds. */
	waitMs: Milliseconds;
	/** Monotonic time at which its summary was true; `-Infinity` without one. */
	at: Milliseconds;
	/** When it came back after it was away; `-Infinity` if it was not. */
	returnedAt: Milliseconds;
};

export type SpillOptions = {
	/** Age at which a summary tells nothing any more, milliseconds. */
	staleAfterMs?: Milliseconds;
	/** Wait for a prefill at which a zone is of no use, milliseconds. */
	waitLimitMs?: Milliseconds;
	/** Time in which the share of a zone that came back grows from `rampFrom` to 1, milliseconds. */
	rampMs?: Milliseconds;
	rampFrom?: number;
};

const defaultStaleAfterMs = 20_000;
const defaultRampMs = 10_000;
const defaultRampFrom = 0.1;

/**
 * A zone that was away looks empty to all hosts of all zones in the same second;
 * sent there by what it has free, the work of that second is more than it can
 * start on, and first tokens are late. Growing its share over some summaries lets
 * the first work show in the next ones.
 */
const toRamp = (elapsedMs: Milliseconds, rampMs: Milliseconds, rampFrom: number): number =>
	elapsedMs >= rampMs ? 1 : rampFrom + ((1 - rampFrom) * Math.max(0, elapsedMs) / rampMs);

function toWeight({isReachable, free, spilled, waitMs, at, returnedAt}: SpillZone, now: Milliseconds, options: SpillOptions): number {
	const {staleAfterMs = defaultStaleAfterMs, waitLimitMs = Infinity, rampMs = defaultRampMs, rampFrom = defaultRampFrom} = options;
	const ageMs = Math.max(0, now - at);
	if (!isReachable || ageMs >= staleAfterMs) {
		return 0;
	}

	const left = Math.max(0, (free * (1 - (ageMs / staleAfterMs))) - spilled);
	const waitShare = waitMs === 0 ? 1 : Math.max(0, 1 - (waitMs / waitLimitMs));
	return left * waitShare * toRamp(now - returnedAt, rampMs, rampFrom);
}

/**
 * Picks the zone that gets a request which its own zone cannot take: by chance,
 * in proportion to what each zone of the nearest region with room is thought to
 * have left. The greatest alone would be every host's choice at once.
 *
 * @param zones - Other zones that serve the pool.
 * @param now - Monotonic milliseconds.
 * @param random - Numbers in [0, 1).
 * @param options - See {@link SpillOptions}.
 * @returns The zone; `undefined` when none is thought to have room, or all that is known is stale.
 *
 * @example
 * ```ts
 * pickSpillZone([{zone: 'dvorana-b', distance: 0, isReachable: true, free: 10, spilled: 0, waitMs: 0, at: now, returnedAt: -Infinity}], now, random); // => 'dvorana-b'
 * ```
 */
export function pickSpillZone(zones: readonly SpillZone[], now: Milliseconds, random: Random, options: SpillOptions = {}): ZoneId | undefined {
	const weighed = zones.map(zone => ({...zone, weight: toWeight(zone, now, options)})).filter(({weight}) => weight > 0);
	const nearest = Math.min(...weighed.map(({distance}) => distance));
	const near = weighed.filter(({distance}) => distance === nearest);
	let left = random() * near.reduce((sum, {weight}) => sum + weight, 0);
	for (const {zone, weight} of near) {
		left -= weight;
		if (left < 0) {
			return zone;
		}
	}

	return near.at(-1)?.zone;
}
