/** Compares splits of a pool into prefill and decode servers, with and without gossip of loads between hosts. */
import {createRandom} from '../_lib/create-random.js';
import {simulate, type Outcome, type Scenario} from './_lib/simulate.js';

const seeds = [48_271, 69_621, 630_360, 742_938, 950_706];

type Shape = Omit<Scenario, 'prefills' | 'decodes' | 'isShared'> & {
	servers: number;
	/** Numbers of prefill servers that are compared. */
	splits: readonly number[];
};

/** The users' pools, with bursts of about twice the usual load in four of every ten seconds. */
export const shapes = {
	'six servers, much memory each': {
		servers: 6, splits: [1, 2, 3, 4], memoryTokens: 42_606, slots: 128, hosts: 7, perSecond: 7.3, burst: 1.8, seconds: 60,
	},
	'thirteen servers of twelve slots': {
		servers: 13, splits: [2, 3, 4, 5, 6], memoryTokens: 33_466, slots: 12, hosts: 6, perSecond: 12.7, burst: 2.1, seconds: 60,
	},
} as const satisfies Readonly<Record<string, Shape>>;

type Row = Outcome & Pick<Scenario, 'prefills' | 'decodes' | 'isShared'> & {shape: string};

function toMean(rows: readonly Outcome[]): Outcome {
	const mean = (read: (row: Outcome) => number): number => Math.round(rows.reduce((sum, row) => sum + read(row), 0) / rows.length * 1000) / 1000;
	return {
		requests: mean(row => row.requests),
		inTime: mean(row => row.inTime),
		late: mean(row => row.late),
		refused: mean(row => row.refused),
		promptP50Ms: mean(row => row.promptP50Ms),
		promptP90Ms: mean(row => row.promptP90Ms),
		prefillBusy: mean(row => row.prefillBusy),
		learntShare: mean(row => row.learntShare),
	};
}

/**
 * Simulates one split of a shape with each seed.
 *
 * @param shape - Servers and load.
 * @param prefills - Number of prefill servers.
 * @param isShared - Whether hosts gossip the loads of their in-flight requests.
 * @returns Means over the seeds, since the bursts of a single run can favour any split.
 */
export function simulateSplit({servers, splits: _, ...load}: Shape, prefills: number, isShared: boolean): Outcome {
	const scenario = {
		...load, prefills, decodes: servers - prefills, isShared,
	};
	return toMean(seeds.map(seed => simulate(scenario, createRandom(seed))));
}

/**
 * Runs the bench. Prints a row of means over the seeds for each shape and split, with
 * and without gossip of loads between hosts, then all rows as JSON.
 *
 * @returns The printed rows.
 */
export function runSplitPoolBench(): readonly Row[] {
	const rows = Object.entries<Shape>(shapes).flatMap(([name, shape]) => shape.splits.flatMap(prefills => [false, true].map((isShared): Row => ({
		shape: name, prefills, decodes: shape.servers - prefills, isShared, ...simulateSplit(shape, prefills, isShared),
	}))));
	console.table(rows);
	console.log(JSON.stringify({bench: 'split-pool', seeds, rows}));
	return rows;
}
