/** Compares ways to place requests and to count a decode server's memory, and times a pick. */
import process from 'node:process';
import {measurePicks} from './measure-picks.js';
import {
	settings, toCapacity, type Outcome, type Scenario, type Strategy,
} from './_lib/scenario.js';
import {simulate} from './simulate.js';

const loads = [0.6, 0.9, 1.1, 1.5];
const routerCounts = [1, 3, 9];
const strategies: readonly Strategy[] = ['round-robin', 'least-lagged', 'two-lagged', 'own-corrected', 'reserve-lagged', 'reserve', 'reserve-all', 'grant'];
const lagged = {reportEveryMs: 1000, reportLagMs: 300};
const defaultSeed = 20_261_202;
const defaultSeconds = 100;

type Row = Outcome & {name: string; routers: number; load: number; ofBound: number};

const toPercent = (share: number): string => `${(share * 100).toFixed(1)}%`;

const printRow = (cells: ReadonlyArray<string | number>): void => {
	console.log(cells.map((cell, i) => i === 0 ? String(cell).padEnd(16) : String(cell).padStart(10)).join(''));
};

const printRows = (rows: readonly Row[]): void => {
	printRow(['strategy', 'routers', 'load', 'goodput', 'of bound', 'overfull', 'refusals', 'wasted', 'late', 'refused', 'failed', 'p50 ms', 'p99 ms']);
	for (const row of rows) {
		printRow([
			row.name,
			row.routers,
			row.load,
			toPercent(row.goodput),
			toPercent(row.ofBound),
			toPercent(row.overfullShare),
			row.refusalsPerRequest.toFixed(3),
			toPercent(row.wastedPrefillShare),
			row.late,
			row.refused,
			row.failed,
			row.firstTokenP50,
			row.firstTokenP99,
		]);
	}
};

const toRows = (load: number, seed: number, seconds: number): Row[] => {
	const base = {load, seed, seconds};
	const bound = simulate({
		...base, strategy: 'reserve-all', routers: 1, reportEveryMs: 0, reportLagMs: 0,
	});
	const rows: Row[] = [{
		...bound, name: 'bound', routers: 1, load, ofBound: 1,
	}];
	for (const strategy of strategies) {
		for (const routers of routerCounts) {
			const scenario: Scenario = {
				...base, ...lagged, strategy, routers,
			};
			const outcome = simulate(scenario);
			rows.push({
				...outcome, name: strategy, routers, load, ofBound: outcome.good / Math.max(1, bound.good),
			});
		}
	}

	return rows;
};

/**
 * Prints the comparison as a table and as one line of JSON. The seed is in
 * `BENCH_SEED` and the simulated time of a run in `BENCH_SECONDS`.
 */
export const runPlacementBench = (): void => {
	const seed = Number(process.env.BENCH_SEED ?? defaultSeed);
	const seconds = Number(process.env.BENCH_SECONDS ?? defaultSeconds);
	console.log(`seed ${seed}, ${seconds} s simulated, ${settings.warmupMs / 1000} s at each end not counted; decode capacity ${toCapacity()} requests/s`);
	const rows = loads.flatMap(load => toRows(load, seed, seconds));
	printRows(rows);
	const timings = [10, 225, 2700].flatMap(servers => [
		measurePicks(servers, 'half used', 5000), measurePicks(servers, 'with account', 2000), measurePicks(servers, 'all full', 1000),
	]);
	printRow(['pick', 'servers', 'mean µs', 'p99 µs']);
	for (const timing of timings) {
		printRow([timing.state, timing.servers, timing.meanMicroseconds.toFixed(1), timing.p99Microseconds.toFixed(1)]);
	}

	console.log(JSON.stringify({
		bench: 'placement', seed, seconds, settings, lagged, rows, timings,
	}));
};
