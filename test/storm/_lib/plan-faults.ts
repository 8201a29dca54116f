/** Draws the schedule of faults before a storm begins. */
import {type Random} from './create-random.js';
import {type FaultKind, type PlannedFault} from './types.js';

export type FaultTargets = {
	hosts: readonly string[];
	zones: readonly string[];
	/** All model engines. */
	engines: readonly string[];
	/** Model engines with the decode role. */
	decodes: readonly string[];
	desks: readonly string[];
};

export type PlanOptions = {
	durationMs: number;
	/** Mean time between two faults. */
	meanIntervalMs: number;
};

type Draw = {
	weight: number;
	forMs: readonly [number, number];
	toTargets: (place: FaultTargets, random: Random) => readonly string[];
};

const pickHost: Draw['toTargets'] = ({hosts}, random) => [random.pick(hosts)];
const pickZone: Draw['toTargets'] = ({zones}, random) => [random.pick(zones)];
const pickEngine: Draw['toTargets'] = ({engines}, random) => [random.pick(engines)];
/** Faults of the platform share one target, so they run one after another and none hides another. */
const toPlatform: Draw['toTargets'] = () => ['platform'];
const toNoTargets: Draw['toTargets'] = () => [];

function pickTwoZones({zones}: FaultTargets, random: Random): readonly string[] {
	const first = random.pick(zones);
	return [first, random.pick(zones.filter(zone => zone !== first))];
}

/** Pauses and cuts last from far less to more than the time after which a host is declared dead. */
const draws: Readonly<Record<FaultKind, Draw>> = {
	'kill entry': {weight: 4, forMs: [200, 4000], toTargets: pickHost},
	'kill agent': {weight: 3, forMs: [200, 4000], toTargets: pickHost},
	'kill host': {weight: 3, forMs: [500, 6000], toTargets: pickHost},
	'pause entry': {weight: 3, forMs: [300, 11_000], toTargets: pickHost},
	'pause agent': {weight: 2, forMs: [300, 11_000], toTargets: pickHost},
	'pause host': {weight: 2, forMs: [300, 11_000], toTargets: pickHost},
	'restart host': {weight: 2, forMs: [0, 1000], toTargets: pickHost},
	'twin host': {weight: 1, forMs: [1000, 8000], toTargets: pickHost},
	'cut zone off': {weight: 2, forMs: [500, 10_000], toTargets: pickZone},
	'cut zones apart': {weight: 2, forMs: [500, 10_000], toTargets: pickTwoZones},
	'cut zones one way': {weight: 2, forMs: [500, 10_000], toTargets: pickTwoZones},
	'cut zone from platform': {weight: 2, forMs: [500, 8000], toTargets: pickZone},
	'stale platform': {weight: 1, forMs: [500, 8000], toTargets: toPlatform},
	'old platform': {weight: 1, forMs: [500, 6000], toTargets: toPlatform},
	'platform down': {weight: 1, forMs: [500, 5000], toTargets: toPlatform},
	'crash engine': {weight: 2, forMs: [200, 4000], toTargets: pickEngine},
	'lose cancels': {weight: 3, forMs: [500, 4000], toTargets: pickEngine},
	'break streams': {weight: 4, forMs: [500, 4000], toTargets: ({decodes}, random) => [random.pick(decodes)]},
	'cross streams': {weight: 1, forMs: [500, 4000], toTargets: toNoTargets},
	'drop desk calls': {weight: 2, forMs: [500, 3000], toTargets: ({desks}, random) => [random.pick(desks)]},
	'refuse work': {weight: 3, forMs: [500, 2500], toTargets: toNoTargets},
	'publish good': {weight: 3, forMs: [0, 0], toTargets: toNoTargets},
	'publish bad': {weight: 3, forMs: [0, 0], toTargets: toNoTargets},
};

const variantCount = 1000;
/** Share of the storm's duration after which the rolling restart of all hosts begins. */
const rollingRestartStartShare = 0.4;

/**
 * Faults that every storm contains in addition to those drawn at random. `at`
 * and `lasts` are shares of the storm's duration. A verdict proves nothing in a
 * storm without the fault that it guards against: an old document after a newer
 * one, and tokens of one answer on the connection of another. The other faults
 * are listed because random draws yield them too rarely.
 */
const scheduledFaults: ReadonlyArray<{kind: FaultKind; at: number; lasts: number}> = [
	{kind: 'cross streams', at: 0.05, lasts: 0.2},
	{kind: 'crash engine', at: 0.15, lasts: 0.1},
	{kind: 'publish good', at: 0.2, lasts: 0},
	{kind: 'old platform', at: 0.3, lasts: 0.1},
	{kind: 'twin host', at: 0.45, lasts: 0.3},
	{kind: 'cut zones one way', at: 0.5, lasts: 0.1},
	{kind: 'crash engine', at: 0.55, lasts: 0.1},
	{kind: 'cross streams', at: 0.6, lasts: 0.2},
	{kind: 'publish good', at: 0.65, lasts: 0},
	{kind: 'old platform', at: 0.75, lasts: 0.1},
];

function drawKind(random: Random): FaultKind {
	const entries = Object.entries(draws) as Array<[FaultKind, Draw]>;
	const total = entries.reduce((sum, [, {weight}]) => sum + weight, 0);
	let left = random.next() * total;
	for (const [kind, {weight}] of entries) {
		left -= weight;
		if (left < 0) {
			return kind;
		}
	}

	return 'publish good';
}

function drawFault(kind: FaultKind, atMs: number, place: FaultTargets, random: Random): PlannedFault {
	const {forMs, toTargets} = draws[kind];
	return {
		kind, atMs, forMs: random.between(...forMs), targets: toTargets(place, random), variant: random.between(0, variantCount - 1),
	};
}

/**
 * Draws the schedule of a storm. The schedule also contains a rolling restart of
 * all hosts and the faults of {@link scheduledFaults} at fixed times. The last
 * edit is a good one, so that the configuration expected at the end is known.
 *
 * @param targets - Hosts, zones and servers that faults can affect.
 * @param options - Duration of the storm and mean time between two faults.
 * @param random - Seeded generator.
 * @returns Faults in order of time.
 */
export function planFaults(targets: FaultTargets, {durationMs, meanIntervalMs: everyMs}: PlanOptions, random: Random): readonly PlannedFault[] {
	const faults: PlannedFault[] = [];
	for (let atMs = random.between(0, everyMs); atMs < durationMs; atMs += random.between(1, 2 * everyMs)) {
		faults.push(drawFault(drawKind(random), atMs, targets, random));
	}

	const rollingRestarts = targets.hosts.map((host, i): PlannedFault => ({
		kind: 'restart host', atMs: Math.round(durationMs * (rollingRestartStartShare + ((1 - rollingRestartStartShare) * i / targets.hosts.length))), forMs: 0, targets: [host], variant: 0,
	}));
	const scheduled = scheduledFaults.map(({kind, at, lasts}): PlannedFault => ({
		kind, atMs: Math.round(durationMs * at), forMs: Math.round(durationMs * lasts), targets: draws[kind].toTargets(targets, random), variant: 0,
	}));
	const lastEdit: PlannedFault = {
		kind: 'publish good', atMs: durationMs, forMs: 0, targets: [], variant: 0,
	};
	return [...faults, ...scheduled, ...rollingRestarts, lastEdit].sort((a, b) => a.atMs - b.atMs);
}
