/** Defines the runs: both users' fleets, loads, faults and numbers of hosts. Times are unscaled, as in the simulated fleet. */
import {type Fleet, type WorkShape} from '../../admission/_lib/fleets.js';

export type BenchFleet = {
	/** Pool of engines, for the arrivals and for the theoretical upper bound. */
	table: Fleet;
	zones: readonly string[];
	/** Servers by zone, in the order of `zones`. */
	prefills: readonly number[];
	decodes: readonly number[];
	desks: readonly number[];
};

export type RunPlan = {
	fleet: BenchFleet;
	load: number;
	hosts: number;
	fault: 'none' | 'burst' | 'slow server' | 'lost zone';
	/** Whether agents poll load reports twenty times a second and engines report without delay. */
	isInstant: boolean;
	/** Whether entries admit everything and place by round robin, as a baseline. */
	isBaseline: boolean;
};

/** Divisor of all times of the engines, the targets and the agents' polls. */
export const timeScale = 1;
export const deskSlots = 4;
export const deskWorkMs = 600;
export const deskTarget: Pick<WorkShape, 'firstTokenMs' | 'completeMs'> = {firstTokenMs: 1300, completeMs: 3000};
export const cancelPart = 0.05;
/** Share of the pool that is guaranteed to batch requests, for the theoretical upper bound. */
export const batchShare = 0.2;
/** Factor by which the burst raises the rate of quick arrivals. */
export const burst = 4;
/** Factor by which the slow server is slower than the others. */
export const slowFactor = 4;

const quick: WorkShape = {
	promptTokens: 400, outputTokens: 48, firstTokenMs: 1300, completeMs: 5000,
};

/** The targets of batch requests are shorter than the users', so that queues reach their full length within a run. */
const toShapes = (outputTokens: number): Fleet['shapes'] => ({
	quick,
	batch: {
		promptTokens: 2000, outputTokens, firstTokenMs: 3000, completeMs: 15_000,
	},
});

export const naslovnik: BenchFleet = {
	table: {
		name: 'Naslovnik',
		pools: [{
			name: 'summaries', prefillServers: 5, decodeServers: 8, quickPart: 0.2,
		}],
		shapes: toShapes(240),
		workspaces: 30,
	},
	zones: ['dvorana-a', 'dvorana-b', 'dvorana-c', 'dvorana-d'],
	prefills: [2, 1, 1, 1],
	decodes: [2, 2, 2, 2],
	desks: [1, 1, 1, 1],
};

export const glossworks: BenchFleet = {
	table: {
		name: 'Glossworks',
		pools: [{
			name: 'scenes', prefillServers: 2, decodeServers: 4, quickPart: 0.2,
		}],
		shapes: toShapes(300),
		workspaces: 15,
	},
	zones: ['studio-a', 'studio-b', 'studio-c'],
	prefills: [1, 1, 0],
	decodes: [1, 1, 2],
	desks: [1, 1, 1],
};

const usual = {
	hosts: 3, fault: 'none', isInstant: false, isBaseline: false,
} as const;

/**
 * Creates the plans of all runs.
 *
 * @param isSmall - Whether to run only one load of one fleet.
 * @returns Plans of the runs.
 */
export function toPlans(isSmall: boolean): RunPlan[] {
	if (isSmall) {
		return [{...usual, fleet: glossworks, load: 0.9}];
	}

	const toUsual = (fleet: BenchFleet): RunPlan[] => [
		...[0.6, 0.9, 1.1, 1.5].map(load => ({...usual, fleet, load})),
		{
			...usual, fleet, load: 0.9, fault: 'burst' as const,
		},
		{
			...usual, fleet, load: 0.9, fault: 'lost zone' as const,
		},
		{
			...usual, fleet, load: 0.9, fault: 'slow server' as const,
		},
		...[0.9, 1.5].map(load => ({
			...usual, fleet, load, isBaseline: true,
		})),
	];
	const toOthers = (fleet: BenchFleet): RunPlan[] => [
		...[0.9, 1.5].map(load => ({
			...usual, fleet, load, hosts: 9,
		})),
		...[0.9, 1.5].map(load => ({
			...usual, fleet, load, hosts: 1,
		})),
		...[0.9, 1.5].map(load => ({
			...usual, fleet, load, hosts: 1, isInstant: true,
		})),
	];
	return [...toUsual(naslovnik), ...toOthers(naslovnik), ...toUsual(glossworks), ...toOthers(glossworks).filter(({load, hosts, isInstant}) => isInstant || (hosts === 9 && load === 1.5))];
}

/** Returns the key of the deployment that a run needs. Runs share a deployment, except those with a lost zone or a slow server. */
export function toDeployment({fleet, hosts, fault, isInstant, isBaseline}: RunPlan): string {
	return [fleet.table.name, hosts, isInstant, isBaseline, fault === 'none' || fault === 'burst' ? '' : fault].join('/');
}

/** Returns the text of the `fault` column for a run. */
export function toFaultText({fault, isInstant, isBaseline}: RunPlan): string {
	return isBaseline ? 'baseline: round robin, no admission' : (isInstant ? 'bound: instant reports' : fault);
}
