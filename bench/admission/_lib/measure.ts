/** Aggregates the results of requests into the figures of the table. */
import {type ServiceClass} from '../../../src/ports/outcome.js';
import {type Scenario, toPlaces} from './arrivals.js';
import {type WasteCause} from './create-backend.js';
import {type RequestResult, toNeedMs} from './simulate.js';

export type Figures = {
	/** Good answers as a fraction of the requests whose caller did not cancel. */
	quickGood: number;
	batchGood: number;
	/** Place time of good batch answers as a fraction of the place time that quick requests left over, or of the offered batch place time if that is less. */
	batchOfLeft: number;
	quickP50: number;
	quickP95: number;
	quickP99: number;
	batchOldestWaitMs: number;
	late: number;
	refusedQuick: number;
	refusedBatch: number;
	bounces: number;
	/** Fraction of all prefill time whose result was not used, by cause. */
	wastedCallerGone: number;
	wastedExpired: number;
	wastedHedge: number;
	wastedStalled: number;
	/** Jain's fairness index over workspaces, for batch place time relative to the max-min fair share. */
	jain: number;
};

export function measure(scenario: Scenario, results: readonly RequestResult[]): Figures {
	const stayed = results.filter(({arrival}) => arrival.leavesAt === Infinity);
	const quickFirst = stayed.filter(({arrival}) => arrival.class === 'quick').flatMap(({firstTokenMs}) => firstTokenMs === undefined ? [] : [firstTokenMs]).sort((a, b) => a - b);
	const batch = results.filter(({arrival}) => arrival.class === 'batch');
	const prefillMs = sum(results.map(result => result.prefillMs));
	const wasted = (cause: WasteCause): number => sum(results.map(result => result.wastedMs[cause])) / Math.max(1, prefillMs);
	return {
		quickGood: toGoodPart(stayed, 'quick'),
		batchGood: toGoodPart(stayed, 'batch'),
		batchOfLeft: toBatchOfLeft(scenario, results),
		quickP50: toPercentile(quickFirst, 0.5),
		quickP95: toPercentile(quickFirst, 0.95),
		quickP99: toPercentile(quickFirst, 0.99),
		batchOldestWaitMs: Math.max(0, ...batch.map(result => result.waitMs)),
		late: stayed.filter(({fate}) => fate === 'late' || fate === 'failed').length,
		refusedQuick: stayed.filter(({arrival, fate}) => arrival.class === 'quick' && fate === 'refused').length,
		refusedBatch: stayed.filter(({arrival, fate}) => arrival.class === 'batch' && fate === 'refused').length,
		bounces: sum(results.map(result => result.bounces)),
		wastedCallerGone: wasted('caller-gone'),
		wastedExpired: wasted('expired'),
		wastedHedge: wasted('hedge'),
		wastedStalled: wasted('stalled'),
		jain: toJain(stayed.filter(({arrival}) => arrival.class === 'batch')),
	};
}

/**
 * Computes an upper bound of goodput from the fleet's sizes alone: all places run at
 * full speed, quick requests come first up to the share guaranteed to batch requests,
 * and batch requests get the rest. The bound ignores waits for a prefill, random
 * variation, and the place time of cancelled requests.
 */
export function toPaperBound(scenario: Scenario, batchShare: number): Pick<Figures, 'quickGood' | 'batchGood'> {
	const pools = scenario.fleet.pools.map(pool => {
		const places = toPlaces(pool, scenario.slowFactor);
		const quickOffered = scenario.load * pool.quickPart * places;
		const batchOffered = scenario.load * (1 - pool.quickPart) * places;
		const quickUsed = (factor: number): number => Math.min(quickOffered * factor, places - Math.min(batchOffered, places * batchShare));
		const quickServed = (0.9 * quickUsed(1)) + (0.1 * quickUsed(scenario.burst));
		return {
			quickOffered: quickOffered * (0.9 + (0.1 * scenario.burst)), quickServed, batchOffered, batchServed: Math.min(batchOffered, places - quickServed),
		};
	});
	return {
		quickGood: sum(pools.map(pool => pool.quickServed)) / sum(pools.map(pool => pool.quickOffered)),
		batchGood: sum(pools.map(pool => pool.batchServed)) / sum(pools.map(pool => pool.batchOffered)),
	};
}

function toGoodPart(results: readonly RequestResult[], serviceClass: ServiceClass): number {
	const own = results.filter(({arrival}) => arrival.class === serviceClass);
	return own.filter(({fate}) => fate === 'good').length / Math.max(1, own.length);
}

function toBatchOfLeft(scenario: Scenario, results: readonly RequestResult[]): number {
	const needOf = (serviceClass: ServiceClass, isGood: boolean): number => {
		const own = results.filter(({arrival}) => arrival.class === serviceClass && arrival.leavesAt === Infinity);
		return sum(own.filter(({fate}) => !isGood || fate === 'good').map(result => toNeedMs(result)));
	};

	const slots = sum(scenario.fleet.pools.map(pool => toPlaces(pool, scenario.slowFactor)));
	const left = (slots * (scenario.horizonMs - scenario.warmupMs)) - needOf('quick', true);
	return needOf('batch', true) / Math.min(left, needOf('batch', false));
}

/**
 * Computes Jain's fairness index over workspaces, for the place time that each got
 * relative to its max-min fair share of the same total; 1 is perfectly fair.
 */
function toJain(results: readonly RequestResult[]): number {
	const demand = new Map<string, number>();
	const got = new Map<string, number>();
	for (const result of results) {
		const {workspace} = result.arrival;
		demand.set(workspace, (demand.get(workspace) ?? 0) + toNeedMs(result));
		got.set(workspace, (got.get(workspace) ?? 0) + (result.fate === 'good' ? toNeedMs(result) : 0));
	}

	const level = toFairLevel([...demand.values()], sum([...got.values()]));
	const ratios = [...demand].map(([workspace, wanted]) => (got.get(workspace) ?? 0) / Math.min(wanted, level));
	return (sum(ratios) ** 2) / (ratios.length * sum(ratios.map(ratio => ratio ** 2)));
}

/** Returns the level up to which each demand is met if `total` is shared max-min fairly. */
function toFairLevel(demands: readonly number[], total: number): number {
	const sorted = [...demands].sort((a, b) => a - b);
	let left = total;
	for (const [index, demand] of sorted.entries()) {
		const even = left / (sorted.length - index);
		if (demand >= even) {
			return even;
		}

		left -= demand;
	}

	return sorted.at(-1) ?? 1;
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}

function toPercentile(sorted: readonly number[], part: number): number {
	return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? 0;
}
