import {type Milliseconds, type Random} from '../../ports/clock.js';
import {type ZoneId} from '../../ports/ids.js';

/** Another zone to which a request could go. */
export type SpillZone = {
	zone: ZoneId;
	/** 0 for a zone of the own region; zones with a higher distance are used only when no nearer zone has room. */
	distance: number;
	/** Whether the zone is not partitioned. */
	isReachable: boolean;
	/** Number of requests that the zone had room for when its summary was taken. */
	free: number;
	/** Number of requests spilled to the zone since then by this host and, as an estimate, by the other hosts of its zone. */
	spilled: number;
	/** Mean wait for a prefill in the zone, milliseconds. */
	waitMs: Milliseconds;
	/** Monotonic time at which its summary was taken; `-Infinity` without a summary. */
	at: Milliseconds;
	/** Monotonic time at which the zone came back; `-Infinity` if it was never missing. */
	returnedAt: Milliseconds;
};

export type SpillOptions = {
	/** Age at which a summary is stale, milliseconds. */
	staleAfterMs?: Milliseconds;
	/** Wait for a prefill at which a zone is useless, milliseconds. */
	waitLimitMs?: Milliseconds;
	/** Time over which the share of a returned zone's room that is used grows from `rampFrom` to 1, milliseconds. */
	rampMs?: Milliseconds;
	rampFrom?: number;
};

const defaultStaleAfterMs = 20_000;
const defaultRampMs = 10_000;
const defaultRampFrom = 0.1;

/**
 * Share of a returned zone's room that is used. Such a zone looks empty to all hosts of
 * all zones in the same second. If they sent requests in proportion to its free room,
 * it would get more work in that second than it can start, and first tokens would be
 * late. With a small share at first and a full share some summaries later, the first
 * requests show in the next summaries. As the share limits the number of requests, it
 * also works where no other zone is near.
 */
const toRamp = (elapsedMs: Milliseconds, rampMs: Milliseconds, rampFrom: number): number =>
	elapsedMs >= rampMs ? 1 : rampFrom + ((1 - rampFrom) * Math.max(0, elapsedMs) / rampMs);

/** Weight of a summary by its age and by the wait of prompts, from 0 to 1; 0 if the zone is useless. */
function toTrust({isReachable, waitMs, at}: SpillZone, now: Milliseconds, {staleAfterMs = defaultStaleAfterMs, waitLimitMs = Infinity}: SpillOptions): number {
	const ageMs = Math.max(0, now - at);
	if (!isReachable || ageMs >= staleAfterMs) {
		return 0;
	}

	const waitShare = waitMs === 0 ? 1 : Math.max(0, 1 - (waitMs / waitLimitMs));
	return waitShare * (1 - (ageMs / staleAfterMs));
}

const drawZone = (zones: ReadonlyArray<{zone: ZoneId; weight: number}>, random: Random): ZoneId | undefined => {
	let left = random() * zones.reduce((sum, {weight}) => sum + weight, 0);
	for (const {zone, weight} of zones) {
		left -= weight;
		if (left < 0) {
			return zone;
		}
	}

	return zones.at(-1)?.zone;
};

/**
 * Picks the zone for a request that the own zone can't take: at random, in proportion
 * to the estimated remaining room of each zone in the nearest region with room. If
 * the zone with the most room were picked, all hosts would pick the same zone at once.
 *
 * The remaining room is underestimated, as some of the spilled requests have ended. If
 * no room is left anywhere by this estimate, all zones that had room share the
 * requests, in any region, and their engines decide.
 *
 * @param zones - Other zones that serve the pool.
 * @param now - Monotonic milliseconds.
 * @param random - Numbers in [0, 1).
 * @param options - See {@link SpillOptions}.
 * @returns The zone; `undefined` if no zone had room or all summaries are stale.
 *
 * @example
 * ```ts
 * pickSpillZone([{zone: 'dvorana-b', distance: 0, isReachable: true, free: 10, spilled: 0, waitMs: 0, at: now, returnedAt: -Infinity}], now, random); // => 'dvorana-b'
 * ```
 */
export function pickSpillZone(zones: readonly SpillZone[], now: Milliseconds, random: Random, options: SpillOptions = {}): ZoneId | undefined {
	const {rampMs = defaultRampMs, rampFrom = defaultRampFrom} = options;
	const known = zones.flatMap(zone => {
		const trust = toTrust(zone, now, options);
		const room = zone.free * toRamp(now - zone.returnedAt, rampMs, rampFrom);
		return trust * room > 0 ? [{...zone, trust, room}] : [];
	});
	const open = known.filter(({room, spilled}) => room > spilled);
	if (open.length === 0) {
		return drawZone(known.map(({zone, trust, room}) => ({zone, weight: trust * room})), random);
	}

	const nearest = Math.min(...open.map(({distance}) => distance));
	const near = open.filter(({distance}) => distance === nearest);
	return drawZone(near.map(({zone, trust, room, spilled}) => ({zone, weight: trust * (room - spilled)})), random);
}
