/**
 * Runs the real programs under seeded open-loop arrivals: entries and agents as
 * processes, stand-in engines whose times are divided by a printed factor, both
 * users' fleets, four loads, faults, and 1, 3 and 9 hosts. Prints a table and
 * writes `out/fleet-bench.json` and `out/fleet-bench.svg`.
 *
 * Environment variables: `BENCH_SMALL=1` selects one short run, `BENCH_SEED` sets the
 * seed of the arrivals, and `BENCH_FLEET` selects the runs whose "fleet load hosts
 * fault", as in the table, contains its value.
 */
import {mkdir, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {drive, type Windows} from './_lib/drive.js';
import {
	type RunPlan, timeScale, toDeployment, toPlans, toFaultText,
} from './_lib/plan.js';
import {startBenchFleet, type BenchDeployment} from './_lib/start-bench-fleet.js';
import {type Row, toRow} from './_lib/to-row.js';
import {toSvg} from './_lib/to-svg.js';
import {traceLate} from './_lib/trace-late.js';

const usualWindows: Windows = {warmupMs: 8000, horizonMs: 18_000, endsAtMs: 19_000};
const smallWindows: Windows = {warmupMs: 3000, horizonMs: 9000, endsAtMs: 10_000};
/** Time between two runs on one deployment, in which the requests of the first run end. */
const pauseMs = 1000;
const maxDeployments = 2;

function toPercent(share: number): string {
	return (share * 100).toFixed(1);
}

function toList(counts: Readonly<Record<string, number>>, toText: (value: number) => string): string {
	return Object.entries(counts).map(([name, value]) => `${name} ${toText(value)}`).join(', ') || '-';
}

function toLine(row: Row): string {
	const cells = [
		row.fleet,
		row.load,
		row.hosts,
		row.fault,
		`${toPercent(row.quickGood)} (${toPercent(row.paperQuick)})`,
		`${toPercent(row.batchGood)} (${toPercent(row.paperBatch)})`,
		`${toPercent(row.deskGood)} (${toPercent(row.paperDesk)})`,
		toPercent(row.batchOfLeft),
		[row.quickP50, row.quickP95, row.quickP99].map(ms => Math.round(ms)).join(' / '),
		toPercent(row.batchComplete),
		(row.batchOldestMs / 1000).toFixed(1),
		row.late,
		row.failed,
		toList(row.refusals, String),
		row.withoutRetryAfter,
		`${toPercent(row.refusedAtP99)} / ${row.refusedLate}: ${toList(row.lateCauses, String)}`,
		`${toPercent(row.wastedPart)}: ${toList(row.wasted, toPercent)}`,
		row.jain.toFixed(3),
		`${toPercent(row.benchBusy)} / ${Math.round(row.sentLateMs)}`,
	];
	return `| ${cells.join(' | ')} |`;
}

const heads = [
	'fleet',
	'load',
	'hosts',
	'fault',
	'quick good % (paper)',
	'batch good % (paper)',
	'desk good % (paper)',
	'batch of what is left %',
	'quick first token p50 / p95 / p99 ms',
	'batch whole %',
	'batch oldest s',
	'late',
	'failed',
	'refusals',
	'no Retry-After',
	'refused at, quick p99 % of target / after 80 %: quick by cause',
	'prefill wasted %',
	'Jain',
	'bench busy % / sent late ms',
];

async function run(plan: RunPlan, deployment: BenchDeployment, options: {windows: Windows; seed: number; runId: string}): Promise<Row> {
	await deployment.judge();
	const driven = await drive(plan, deployment, options);
	const judged = await deployment.judge();
	const lateRefusals = await traceLate(driven.results, deployment.hosts);
	return toRow(plan, {
		...options, ...driven, judged, lateRefusals,
	});
}

function isWanted(plan: RunPlan): boolean {
	const {fleet, load, hosts} = plan;
	const name = `${fleet.table.name} ${load} ${hosts} ${toFaultText(plan)}`;
	return name.includes(process.env.BENCH_FLEET ?? '');
}

type Numbered = {plan: RunPlan; index: number};

async function runDeployment(runs: readonly Numbered[], windows: Windows, seed: number): Promise<Array<{index: number; row: Row}>> {
	const deployment = await startBenchFleet(runs[0]!.plan);
	const rows: Array<{index: number; row: Row}> = [];
	try {
		for (const {plan, index} of runs) {
			await sleep(pauseMs);
			const row = await run(plan, deployment, {windows, seed, runId: `n${index}`});
			rows.push({index, row});
			console.log(`done: ${row.fleet} ${row.load}, ${row.hosts} hosts, ${row.fault}`);
		}
	} finally {
		await deployment.stop();
	}

	return rows;
}

/** Runs two deployments at a time, since each leaves most of the machine idle. */
async function runAll(plans: readonly RunPlan[], windows: Windows, seed: number): Promise<Row[]> {
	const groups = new Map<string, Numbered[]>();
	for (const [index, plan] of plans.entries()) {
		const name = toDeployment(plan);
		groups.set(name, [...groups.get(name) ?? [], {plan, index}]);
	}

	const waiting = [...groups.values()];
	const rows: Array<{index: number; row: Row}> = [];
	const work = async (): Promise<void> => {
		for (let runs = waiting.shift(); runs !== undefined; runs = waiting.shift()) {
			rows.push(...await runDeployment(runs, windows, seed));
		}
	};

	await Promise.all(Array.from({length: maxDeployments}, async () => work()));
	return rows.toSorted((a, b) => a.index - b.index).map(({row}) => row);
}

/** Runs the bench, in about seven minutes. */
export async function runFleetBench(): Promise<void> {
	const isSmall = process.env.BENCH_SMALL === '1';
	const seed = Number(process.env.BENCH_SEED ?? 1);
	const windows = isSmall ? smallWindows : usualWindows;
	console.log(`seed ${seed}; times of the simulated fleet, time scale ${timeScale}; measured ${(windows.horizonMs - windows.warmupMs) / 1000} s after ${windows.warmupMs / 1000} s\n`);
	const rows = await runAll(toPlans(isSmall).filter(plan => isWanted(plan)), windows, seed);
	console.log(`\n| ${heads.join(' | ')} |\n|${'---|'.repeat(heads.length)}\n${rows.map(row => toLine(row)).join('\n')}`);
	await mkdir('out', {recursive: true});
	await writeFile('out/fleet-bench.json', JSON.stringify({
		bench: 'fleet', seed, timeScale, windows, rows,
	}, undefined, '\t'));
	await writeFile('out/fleet-bench.svg', toSvg(rows));
	console.log('\nout/fleet-bench.json and out/fleet-bench.svg written');
}
