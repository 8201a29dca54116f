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
	/** Time in which the believed part of the room of a zone that came back grows from `rampFrom` to 1, milliseconds. */
	rampMs?: Milliseconds;
	rampFrom?: number;
};

const defaultStaleAfterMs = 20_000;
const defaultRampMs = 10_000;
const defaultRampFrom = 0.1;

/**
 * A zone that was away looks empty to all hosts of all zones in the same second;
 * sent there by what it has free, the work of that second is more than it can
 * start on, and first tokens are late. Believing little of its room at first, and
 * all of it after some summaries, lets the first work show in the next ones. It
 * bounds the number that is sent, so it also holds where no other zone is near.
 */
const toRamp = (elapsedMs: Milliseconds, rampMs: Milliseconds, rampFrom: number): number =>
	elapsedMs >= rampMs ? 1 : rampFrom + ((1 - rampFrom) * Math.max(0, elapsedMs) / rampMs);

/** How far a summary is believed, less where prompts wait; 0 if the zone is of no use. */
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
 * Picks the zone that gets a request which its own zone cannot take: by chance,
 * in proportion to what each zone of the nearest region with room is thought to
 * have left. The greatest alone would be every host's choice at once.
 *
 * What is left is guessed low, since some of what was sent has ended. So when
 * nothing is left anywhere, all zones that had room share the rest, wherever they
 * are, and their engines decide.
 *
 * @param zones - Other zones that serve the pool.
 * @param now - Monotonic milliseconds.
 * @param random - Numbers in [0, 1).
 * @param options - See {@link SpillOptions}.
 * @returns The zone; `undefined` when none had room, or all that is known is stale.
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
