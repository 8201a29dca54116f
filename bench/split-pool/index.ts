/** How a pool is best split into prefill and decode servers, and what it brings that hosts tell each other their loads. */
import {createRandom} from '../_lib/create-random.js';
import {simulate, type Outcome, type Scenario} from './_lib/simulate.js';

const seeds = [48_271, 69_621, 630_360, 742_938, 950_706];

/** The users' smaller site: six servers, seven hosts, 7.3 requests a second and bursts of nearly twice as many. */
const base: Omit<Scenario, 'prefills' | 'decodes' | 'isShared'> = {
	hosts: 7, perSecond: 7.3, burst: 1.8, seconds: 60,
};
const servers = 6;

type Row = Outcome & Pick<Scenario, 'prefills' | 'decodes' | 'isShared'>;

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
	};
}

/**
 * Runs the bench and prints a row for each split, with and without word between
 * hosts, as means over the seeds; after them the rows as JSON.
 *
 * @returns The rows.
 */
export function runSplitPoolBench(): readonly Row[] {
	const rows = [1, 2, 3, 4].flatMap(prefills => [false, true].map((isShared): Row => {
		const scenario = {
			...base, prefills, decodes: servers - prefills, isShared,
		};
		return {
			prefills, decodes: servers - prefills, isShared, ...toMean(seeds.map(seed => simulate(scenario, createRandom(seed)))),
		};
	}));
	console.table(rows);
	console.log(JSON.stringify({bench: 'split-pool', seeds, rows}));
	return rows;
}
