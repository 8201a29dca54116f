/** Compares strategies for placing requests and reserving decode slots, and measures the time of a pick. */
import process from 'node:process';
import {printHeader, printOutcome, printRow} from './_lib/print.js';
import {
	settings, toCapacity, type Outcome, type Scenario, type SlowServers, type Strategy,
} from './_lib/scenario.js';
import {measurePicks} from './measure-picks.js';
import {simulate} from './simulate.js';

const loads = [0.6, 0.9, 1.1, 1.5];
const strategies: readonly Strategy[] = ['round-robin', 'least-lagged', 'two-lagged', 'own-corrected', 'reserve-lagged', 'reserve-drawn', 'reserve-all', 'grant', 'reserve'];
const lagged = {reportEveryMs: 1000, reportLagMs: 300};
const instant = {reportEveryMs: 0, reportLagMs: 0};
const defaultSeed = 20_261_202;
const defaultSeconds = 100;

/** A zone of the size that the product targets: 216 servers, 33 routers. */
const zoneScale = 8;
const zoneRouters = 33;

type Base = {seed: number; seconds: number};
type Row = {name: string; routers: number; load: number; outcome: Outcome};

const run = (name: string, scenario: Scenario): Row => {
	const {routers, load} = scenario;
	const outcome = simulate(scenario);
	printOutcome([name, routers, load], outcome);
	return {
		name, routers, load, outcome,
	};
};

/** Compares who reserves the slots of a decode server. */
const runCounting = (base: Base): Row[] => loads.flatMap(load => [
	run('bound', {
		...base, ...instant, load, strategy: 'reserve-all', routers: 1,
	}),
	...strategies.flatMap(strategy => [1, 3, 9].map(routers => run(strategy, {
		...base, ...lagged, load, strategy, routers,
	}))),
]);

/** Measures the cost of more routers, with and without subsets, for two seeds, and in a zone of the target size. */
const runRouters = (base: Base): Row[] => [
	...loads.flatMap(load => (['reserve-drawn', 'reserve'] as const).flatMap(strategy => [1, 3, 9, 33].flatMap(routers => [0, 1].map(i => run(`${strategy}, seed ${i + 1}`, {
		...base, ...lagged, load, strategy, routers, seed: base.seed + i,
	}))))),
	...[0.9, 1.1].flatMap(load => [
		run('zone, reserve-drawn', {
			...base, ...lagged, load, strategy: 'reserve-drawn', routers: 1, scale: zoneScale, seconds: 60,
		}),
		...(['reserve-drawn', 'reserve'] as const).map(strategy => run(`zone, ${strategy}`, {
			...base, ...lagged, load, strategy, routers: zoneRouters, scale: zoneScale, seconds: 60,
		})),
	]),
	...[9, 33].map(routers => run('reserve, 30% at one', {
		...base, ...lagged, load: 0.9, strategy: 'reserve', routers, skew: 0.3,
	})),
];

/** Slows some decode servers to a quarter of their token rate after a third of the run. */
const runSlow = (base: Base): Row[] => {
	const cases: ReadonlyArray<[string, number, boolean]> = [
		['1 slow, reported', 1, true],
		['1 slow, not reported', 1, false],
		['6 slow, not reported', 6, false],
		['all slow, not reported', settings.decodeServers, false],
	];
	return cases.flatMap(([name, count, isReported]) => [0.6, 0.8].flatMap(load => [1, 9].map(routers => {
		const slow: SlowServers = {
			count, isReported, factor: 4, fromMs: base.seconds * 1000 / 3, toMs: base.seconds * 1000,
		};
		return run(name, {
			...base, ...lagged, load, strategy: 'reserve', routers, slow,
		});
	})));
};

const runPicks = () => {
	printRow(['pick', 'servers', 'mean µs', 'p99 µs']);
	return [10, 225, 2700].flatMap(servers => [
		measurePicks(servers, 'half used', 5000), measurePicks(servers, 'with account', 2000), measurePicks(servers, 'all full', 1000),
	]).map(timing => {
		printRow([timing.state, timing.servers, timing.meanMicroseconds.toFixed(1), timing.p99Microseconds.toFixed(1)]);
		return timing;
	});
};

const parts: Readonly<Record<string, (base: Base) => unknown>> = {
	counting: runCounting, routers: runRouters, slow: runSlow, picks: runPicks,
};

/**
 * Runs the bench and prints tables, then one line of JSON. Environment variables:
 * `BENCH_SEED` sets the seed, `BENCH_SECONDS` the simulated time of a run, and
 * `BENCH_PART` the names of the parts to run, separated by commas.
 */
export const runPlacementBench = (): void => {
	const base = {seed: Number(process.env.BENCH_SEED ?? defaultSeed), seconds: Number(process.env.BENCH_SECONDS ?? defaultSeconds)};
	const names = process.env.BENCH_PART?.split(',') ?? Object.keys(parts);
	console.log(`seed ${base.seed}, ${base.seconds} s simulated, ${settings.warmupMs / 1000} s at each end not counted; decode capacity ${toCapacity()} requests/s`);
	const results = names.map((name): [string, unknown] => {
		printHeader(name, 'routers', 'load');
		return [name, parts[name]?.(base)];
	});
	console.log(JSON.stringify({
		bench: 'placement', ...base, settings, lagged, ...Object.fromEntries(results),
	}));
};
