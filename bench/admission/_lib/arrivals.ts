/** Seeded open-loop arrivals: the same seed and load give the same requests to every policy. */
import {type ServiceClass} from '../../../src/ports/outcome.js';
import {
	type Fleet, placesPerDecodeServer, type PoolTable, toHoldMs, type WorkShape,
} from './fleets.js';

export type Arrival = {
	id: string;
	at: number;
	/** Balancer's choice, in [0, 1). */
	routerChoice: number;
	pool: string;
	class: ServiceClass;
	workspace: string;
	shape: WorkShape;
	/** When the caller leaves; `Infinity` for those who stay. */
	leavesAt: number;
	isMeasured: boolean;
};

export type Scenario = {
	fleet: Fleet;
	/** Offered place time over the fleet's place time, a slow server counted as what it does. */
	load: number;
	seed: number;
	/** Measured requests come between the two; arrivals go on until `endsAtMs`, so that the last ones meet the same load. */
	warmupMs: number;
	horizonMs: number;
	endsAtMs: number;
	/** Part of the callers that leave early. */
	cancelPart: number;
	/** Quick arrivals during the burst, as a multiple; it lasts a tenth of the measured time and begins in its middle. */
	burst: number;
	/** Factor by which one decode server of each pool is slow. */
	slowFactor: number;
	/** Part of the KV transfers that stall, and for how long. */
	stallPart?: number;
	stallMs?: number;
	/** Time past its expected end after which a transfer is given up and the work started again; absent for never. */
	giveUpAfterMs?: number;
	/** Whether work of callers that left runs on to its end. */
	isCancelIgnored?: boolean;
	/** A zone that goes: the second router and a quarter of each pool's decode servers. */
	loss?: ZoneLoss;
	/** Time without a first token after which quick work is started on a second server as well; absent for never. */
	hedgeAfterMs?: number;
};

export type ZoneLoss = {
	atMs: number;
	/** Time until the others stop counting the lost servers' places, and the lost router's share. */
	placesKnownAfterMs: number;
	shareKnownAfterMs: number;
};

/** Park and Miller's generator: enough chance for arrivals, and the same on every machine. */
export function createRandom(seed: number): () => number {
	const modulus = 2_147_483_647;
	let state = 1 + (seed % (modulus - 1));
	return () => {
		state = state * 48_271 % modulus;
		return (state - 1) / (modulus - 1);
	};
}

/** Places of a pool at full speed: its slow server counts as the part that it does. */
export function toPlaces(pool: PoolTable, slowFactor: number): number {
	return (pool.decodeServers - 1 + (1 / slowFactor)) * placesPerDecodeServer;
}

/**
 * @param scenario - fleet, load and faults.
 * @returns arrivals in order of time.
 */
export function toArrivals(scenario: Scenario): Arrival[] {
	const random = createRandom(scenario.seed);
	const arrivals = scenario.fleet.pools.flatMap(pool => (['quick', 'batch'] as const).flatMap(serviceClass => toStream(scenario, pool, serviceClass, random)));
	return arrivals.sort((a, b) => a.at - b.at).map((arrival, index) => ({...arrival, id: `r${index}`}));
}

export function toBurst({warmupMs, horizonMs}: Scenario): {burstFrom: number; burstUntil: number} {
	const burstFrom = (warmupMs + horizonMs) / 2;
	return {burstFrom, burstUntil: burstFrom + ((horizonMs - warmupMs) / 10)};
}

function toStream(scenario: Scenario, pool: PoolTable, serviceClass: ServiceClass, random: () => number): Arrival[] {
	const shape = scenario.fleet.shapes[serviceClass];
	const part = serviceClass === 'quick' ? pool.quickPart : 1 - pool.quickPart;
	const places = toPlaces(pool, scenario.slowFactor);
	const perMs = scenario.load * part * places / toHoldMs(shape);
	const {burstFrom, burstUntil} = toBurst(scenario);
	const arrivals: Arrival[] = [];
	for (let at = 0; at < scenario.endsAtMs;) {
		const isBurst = serviceClass === 'quick' && at >= burstFrom && at < burstUntil;
		at += -Math.log(1 - random()) / (perMs * (isBurst ? scenario.burst : 1));
		arrivals.push(toArrival(scenario, {pool: pool.name, class: serviceClass, at}, random));
	}

	return arrivals;
}

function toArrival(scenario: Scenario, {pool, class: serviceClass, at}: Pick<Arrival, 'pool' | 'class' | 'at'>, random: () => number): Arrival {
	const nominal = scenario.fleet.shapes[serviceClass];
	// Answers vary: half to one and a half times the nominal length.
	const factor = 0.5 + random();
	const shape = {...nominal, promptTokens: Math.round(nominal.promptTokens * factor), outputTokens: Math.round(nominal.outputTokens * (0.5 + random()))};
	const isLeaving = random() < scenario.cancelPart;
	const patienceMs = random() * 1.5 * toHoldMs(shape);
	return {
		id: '',
		at,
		routerChoice: random(),
		pool,
		class: serviceClass,
		workspace: toWorkspace(scenario, random),
		shape,
		leavesAt: isLeaving ? at + patienceMs : Infinity,
		isMeasured: at >= scenario.warmupMs && at < scenario.horizonMs,
	};
}

/** One workspace in a fleet sends 40 % of all requests; the others share the rest evenly. */
function toWorkspace(scenario: Scenario, random: () => number): string {
	return random() < 0.4 ? 'w0' : `w${1 + Math.floor(random() * (scenario.fleet.workspaces - 1))}`;
}
