/**
 * Simulates spilling between twelve zones on a logical clock: decode servers with
 * slots, hosts that share no state, and delayed summaries. Only the choice of zone and
 * server is modelled.
 */
import {toSeededRandom} from '../../src/domain/create-placement/_lib/fixtures.js';
import {pickSpillZone, type SpillZone} from '../../src/domain/pick-spill-zone/index.js';

/**
 * How the host of a zone without room chooses a zone and a server there.
 *
 * - `blind`: a random zone of the same region, as without summaries; a random server.
 * - `round-robin`: the other zones in turn, in any region; a random server.
 * - `greatest`: the zone with the most free slots by its summary, in the nearest region that has any; a random server.
 * - `summaries`: `pickSpillZone`; a random server.
 * - `summaries, own alone`: as `summaries`, but the host counts only its own spills, instead of assuming that every host of its zone spills as much.
 * - `summaries, no ramp`: as `summaries`, but a zone that has returned gets its full share at once.
 * - `summaries, digest`: `pickSpillZone`; one of the least used servers named in the summary of the zone.
 */
export type Strategy = 'blind' | 'round-robin' | 'greatest' | 'summaries' | 'summaries, own alone' | 'summaries, digest' | 'summaries, no ramp';

export type SpillOutcome = {
	strategy: Strategy;
	seed: number;
	/** Fraction of all requests that were refused while the lost zone had no servers. */
	refused: number;
	/** Fraction of the spilled requests that were refused during that time. */
	refusedOfSpilled: number;
	/** Highest share of slots in use in any zone while the lost zone had no servers: mean over that time, and maximum of any second. */
	worstZone: number;
	worstSecond: number;
	/** Mean number of offers refused by full servers per spilled request. */
	refusals: number;
	/** Fraction of the spilled requests that left their region. */
	farShare: number;
	/** Most spilled requests that the lost zone received in any of the first ten seconds after its return. */
	foreignPeak: number;
};

const regions = [0, 0, 0, 1, 1, 1, 2, 2, 3, 3, 4, 4];
const loads = [0.7, 0.8, 0.6, 0.9, 0.75, 0.65, 0.85, 0.7, 0.8, 0.75, 0.6, 0.9];
const lostZone = 6;

/** The other zone of the region of the lost zone; overloaded from the return of the lost zone on. */
const neighbourZone = 7;
const crowdedLoad = 1.3;
const serversOfZone = 100;
const slots = 20;
const hostsOfZone = 33;
const holdMs = 3000;
const stepMs = 100;
const lostAtMs = 30_000;
const backAtMs = 60_000;
const endMs = 75_000;

/** Age of a summary on arrival. */
const summaryAgeMs = 4000;
/** Time between two summaries. */
const summaryIntervalMs = 3000;
const maxOffers = 3;
const digestServers = 4;

type Zone = {id: number; used: number[]; isLost: boolean; returnedAt: number};
type Summary = {at: number; free: number; least: readonly number[]};

const toUsed = ({used}: Zone): number => used.reduce((sum, one) => sum + one, 0);

function toSummary(zone: Zone, at: number): Summary {
	const order = zone.used.map((used, i) => ({used, i})).toSorted((a, b) => a.used - b.used);
	return {at, free: zone.isLost ? 0 : (serversOfZone * slots) - toUsed(zone), least: order.slice(0, digestServers).map(({i}) => i)};
}

/** Draws from a Poisson distribution by adding up exponential gaps. */
function drawCount(mean: number, random: () => number): number {
	let count = 0;
	for (let sum = -Math.log(1 - random()); sum < mean; sum -= Math.log(1 - random())) {
		count += 1;
	}

	return count;
}

/** Simulates one strategy and returns its outcome. */
export function simulate(strategy: Strategy, seed: number): SpillOutcome {
	const random = toSeededRandom(seed);
	const zones: Zone[] = regions.map((_, id) => ({
		id, used: Array.from({length: serversOfZone}, () => 0), isLost: false, returnedAt: -Infinity,
	}));
	const summaries = new Map<number, Summary[]>(zones.map(({id}) => [id, []]));
	const sent = new Map<string, number[]>();
	const ends: Array<Array<() => void>> = Array.from({length: (endMs / stepMs) + 1}, () => []);
	const tally = {
		offered: 0, refused: 0, spilled: 0, spilledRefused: 0, refusals: 0, far: 0,
	};
	const usedSums = zones.map(() => 0);
	const foreign = Array.from({length: endMs / 1000}, () => 0);
	let seconds = 0;
	let worstSecond = 0;
	let turn = Math.floor(random() * zones.length);

	/** Returns the latest summary that the hosts of one zone have received from another. Each pair of zones has its own phase. */
	function toLatestSummary(from: number, of: number, now: number): Summary | undefined {
		const phase = ((from * 7) + (of * 13)) % (summaryIntervalMs / 1000) * 1000;
		const receivedAt = (Math.floor((now - phase) / summaryIntervalMs) * summaryIntervalMs) + phase;
		return summaries.get(of)![Math.floor((receivedAt - summaryAgeMs) / 1000)];
	}

	function take(zone: Zone, server: number, now: number): boolean {
		if (zone.isLost || zone.used[server]! >= slots) {
			return false;
		}

		zone.used[server]! += 1;
		const step = Math.ceil((now - (holdMs * Math.log(1 - random()))) / stepMs);
		ends[Math.min(step, ends.length - 1)]!.push(() => {
			zone.used[server]! -= zone.used[server]! > 0 ? 1 : 0;
		});
		return true;
	}

	function toSpillZone(from: number, host: number, {id, returnedAt}: Zone, now: number): SpillZone {
		const summary = toLatestSummary(from, id, now);
		const at = summary?.at ?? -Infinity;
		const own = sent.get(`${from} ${host} ${id}`)?.filter(time => time > at).length ?? 0;
		return {
			zone: `${id}`,
			distance: regions[id] === regions[from] ? 0 : 1,
			isReachable: true,
			free: summary?.free ?? 0,
			spilled: own * (strategy === 'summaries, own alone' ? 1 : hostsOfZone),
			waitMs: 0,
			at,
			returnedAt: returnedAt + summaryAgeMs,
		};
	}

	function pickZone(from: number, host: number, now: number): number | undefined {
		const others = zones.filter(({id}) => id !== from);
		if (strategy === 'blind') {
			const near = others.filter(({id, isLost}) => regions[id] === regions[from] && !isLost);
			return near[Math.floor(random() * near.length)]?.id;
		}

		if (strategy === 'round-robin') {
			turn += 1;
			return others[turn % others.length]!.id;
		}

		const candidates = others.map(zone => toSpillZone(from, host, zone, now));
		if (strategy === 'greatest') {
			const [best] = candidates.filter(({free}) => free > 0).toSorted((a, b) => a.distance - b.distance || b.free - a.free);
			return best && Number(best.zone);
		}

		const picked = pickSpillZone(candidates, now, random, {rampFrom: strategy === 'summaries, no ramp' ? 1 : undefined});
		return picked === undefined ? undefined : Number(picked);
	}

	function spill(from: number, now: number): boolean {
		const host = Math.floor(random() * hostsOfZone);
		const isCounted = now >= lostAtMs && now < backAtMs;
		// After a refusal the product picks a new zone and server.
		for (let offer = 0; offer < maxOffers; offer++) {
			const id = pickZone(from, host, now);
			if (id === undefined) {
				return false;
			}

			const key = `${from} ${host} ${id}`;
			foreign[Math.floor(now / 1000)]! += id === lostZone ? 1 : 0;
			sent.set(key, [...(sent.get(key) ?? []).filter(time => now - time < 20_000), now]);
			const least = toLatestSummary(from, id, now)?.least ?? [];
			const server = strategy === 'summaries, digest' ? least[Math.floor(random() * least.length)] ?? 0 : Math.floor(random() * serversOfZone);
			if (take(zones[id]!, server, now)) {
				tally.far += isCounted && regions[id] !== regions[from] ? 1 : 0;
				return true;
			}

			tally.refusals += isCounted ? 1 : 0;
		}

		return false;
	}

	/** Places a request in its own zone, whose loads are known, if any server there has a free slot. */
	function placeAtHome(zone: Zone, now: number): boolean {
		const start = Math.floor(random() * serversOfZone);
		return zone.used.some((_, i) => take(zone, (start + i) % serversOfZone, now));
	}

	function arrive(zone: Zone, now: number) {
		const isHome = placeAtHome(zone, now);
		const isPlaced = isHome || spill(zone.id, now);
		if (now >= lostAtMs && now < backAtMs) {
			tally.offered += 1;
			tally.refused += isPlaced ? 0 : 1;
			tally.spilled += isHome ? 0 : 1;
			tally.spilledRefused += isPlaced ? 0 : 1;
		}
	}

	function noteSecond(now: number) {
		for (const zone of zones) {
			summaries.get(zone.id)!.push(toSummary(zone, now));
		}

		if (now >= lostAtMs + 5000 && now < backAtMs) {
			seconds += 1;
			for (const zone of zones) {
				const share = toUsed(zone) / serversOfZone / slots;
				usedSums[zone.id]! += share;
				worstSecond = Math.max(worstSecond, share);
			}
		}
	}

	for (let now = 0; now < endMs; now += stepMs) {
		const lost = zones[lostZone]!;
		if (now === lostAtMs) {
			lost.isLost = true;
			lost.used.fill(0);
		} else if (now === backAtMs) {
			lost.isLost = false;
			lost.returnedAt = now;
		}

		for (const end of ends[now / stepMs]!) {
			end();
		}

		if (now % 1000 === 0) {
			noteSecond(now);
		}

		for (const zone of zones) {
			const load = zone.id === neighbourZone && now >= backAtMs ? crowdedLoad : loads[zone.id]!;
			const mean = load * serversOfZone * slots / holdMs * stepMs;
			for (let left = drawCount(mean, random); left > 0; left--) {
				arrive(zone, now);
			}
		}
	}

	return {
		strategy,
		seed,
		refused: tally.refused / tally.offered,
		refusedOfSpilled: tally.spilledRefused / tally.spilled,
		worstZone: Math.max(...usedSums) / seconds,
		worstSecond,
		refusals: tally.refusals / tally.spilled,
		farShare: tally.far / tally.spilled,
		foreignPeak: Math.max(...foreign.slice(backAtMs / 1000, (backAtMs / 1000) + 10)),
	};
}
