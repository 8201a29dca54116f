/** Generates seeded open-loop arrivals: every policy gets the same requests for the same seed and load. */
import {type ServiceClass} from '../../../src/ports/outcome.js';
import {
	type Fleet, placesPerDecodeServer, type PoolTable, toHoldMs, type WorkShape,
} from './fleets.js';

export type Arrival = {
	id: string;
	at: number;
	/** Random number in [0, 1) by which the load balancer chooses a router. */
	routerChoice: number;
	pool: string;
	class: ServiceClass;
	workspace: string;
	shape: WorkShape;
	/** Time at which the caller cancels; `Infinity` if it does not. */
	leavesAt: number;
	isMeasured: boolean;
};

export type Scenario = {
	fleet: Fleet;
	/** Offered place time as a fraction of the fleet's place time, in which a slow server counts by its speed. */
	load: number;
	seed: number;
	/** Requests that arrive between `warmupMs` and `horizonMs` are measured. Arrivals continue until `endsAtMs`, so that the last measured requests meet the same load. */
	warmupMs: number;
	horizonMs: number;
	endsAtMs: number;
	/** Fraction of the callers that cancel. */
	cancelPart: number;
	/** Factor by which the burst raises the rate of quick arrivals. The burst begins in the middle of the measured time and lasts a tenth of it. */
	burst: number;
	/** Factor by which one decode server of each pool is slower than the others. */
	slowFactor: number;
	/** Fraction of the KV transfers that stall. */
	stallPart?: number;
	/** Duration of a stall. */
	stallMs?: number;
	/** Time past its expected end after which a transfer is aborted and the request restarted; absent for never. */
	giveUpAfterMs?: number;
	/** Whether requests of callers that cancelled run to completion. */
	isCancelIgnored?: boolean;
	/** Loss of a zone, which takes the second router and a quarter of each pool's decode servers. */
	loss?: ZoneLoss;
	/** Time without a first token after which a quick request is hedged on a second server; absent for never. */
	hedgeAfterMs?: number;
};

export type ZoneLoss = {
	atMs: number;
	/** Time until the remaining routers stop counting the places of the lost servers. */
	placesKnownAfterMs: number;
	/** Time until the remaining routers stop counting the share of the lost router. */
	shareKnownAfterMs: number;
};

/** Creates a seeded random number generator (Park-Miller), which gives the same numbers on every machine. */
export function createRandom(seed: number): () => number {
	const modulus = 2_147_483_647;
	let state = 1 + (seed % (modulus - 1));
	return () => {
		state = state * 48_271 % modulus;
		return (state - 1) / (modulus - 1);
	};
}

/** Returns the decode places of a pool, in which the slow server counts by its speed. */
export function toPlaces(pool: PoolTable, slowFactor: number): number {
	return (pool.decodeServers - 1 + (1 / slowFactor)) * placesPerDecodeServer;
}

/**
 * Draws the arrivals of a scenario.
 *
 * @param scenario - Fleet, load and faults.
 * @returns Arrivals in order of time.
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
	// Lengths of prompts and answers vary from half to one and a half times the nominal length.
	const factor = 0.5 + random();
	const shape = {...nominal, promptTokens: Math.round(nominal.promptTokens * factor), outputTokens: Math.round(nominal.outputTokens * (0.5 + random()))};
	const isLeaving = random() < scenario.cancelPart;
	const cancelAfterMs = random() * 1.5 * toHoldMs(shape);
	return {
		id: '',
		at,
		routerChoice: random(),
		pool,
		class: serviceClass,
		workspace: toWorkspace(scenario, random),
		shape,
		leavesAt: isLeaving ? at + cancelAfterMs : Infinity,
		isMeasured: at >= scenario.warmupMs && at < scenario.horizonMs,
	};
}

/** Picks a workspace: one sends 40 % of all requests, the others share the rest evenly. */
function toWorkspace(scenario: Scenario, random: () => number): string {
	return random() < 0.4 ? 'w0' : `w${1 + Math.floor(random() * (scenario.fleet.workspaces - 1))}`;
}
