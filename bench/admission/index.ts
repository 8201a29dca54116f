/**
 * Compares admission policies on a logical clock, with the same seeded arrivals for
 * each: both users' fleets, four loads, a burst of quick requests, callers that cancel,
 * and one slow server in each pool. Also measures savings by cancelling, hedging, how
 * late quick requests are refused, the loss of a zone, retries, and the cost of decisions.
 */
import {type Scenario} from './_lib/arrivals.js';
import {runCancels} from './_lib/cancels.js';
import {measureDecisionCost} from './_lib/decision-cost.js';
import {fleets} from './_lib/fleets.js';
import {runHedging} from './_lib/hedging.js';
import {runLostZone} from './_lib/lost-zone.js';
import {type Figures, measure, toPaperBound} from './_lib/measure.js';
import {policies} from './_lib/policies.js';
import {runRefusals} from './_lib/refusals.js';
import {runRetries} from './_lib/retries.js';
import {simulate} from './_lib/simulate.js';

const loads = [0.6, 0.9, 1.1, 1.5];
const batchShare = 0.2;

type Row = {fleet: string; load: number; policy: string} & Partial<Figures>;

/**
 * Runs the bench. Prints tables, then all rows as JSON.
 *
 * @param seed - Seed of the arrivals, 1 by default.
 */
export function runAdmissionBench(seed = 1): void {
	const base: Omit<Scenario, 'fleet' | 'load'> = {
		seed, warmupMs: 100_000, horizonMs: 220_000, endsAtMs: 290_000, cancelPart: 0.05, burst: 2, slowFactor: 2,
	};
	const rows = fleets.flatMap(fleet => loads.flatMap(load => toRows({...base, fleet, load})));
	const {stages, gains} = runCancels({...base, load: 1.1});
	const hedging = runHedging(base);
	const refusals = runRefusals(base);
	const lostZone = runLostZone(base);
	const retries = runRetries();
	const cost = measureDecisionCost();
	console.log(`seed ${seed}; fractions in %, times in ms\n\n${toTable(rows)}`);
	console.log(`\nBatch requests that their callers cancelled; a third of all callers cancel, load 1.1, nine routers (means per request)\n\n${toTable(stages)}`);
	console.log(`\nGoodput of the requests that were not cancelled\n\n${toTable(gains)}`);
	console.log(`\nHedging of quick requests, and aborting transfers; a stalled transfer takes 3 s longer\n\n${toTable(hedging)}`);
	console.log(`\nRefused quick requests, nine routers; each request of a sample is replayed with that request never refused\n\n${toTable(refusals)}`);
	console.log(`\nThe first 10 s after a zone is lost, load 0.9, means of six seeds\n\n${toTable(lostZone)}`);
	console.log(`\nRetries while a fraction of all attempts fails: three attempts each, and the retry budget\n\n${toTable(retries)}`);
	console.log(`\nTime of the decisions (on this machine, with its other load)\n\n${toTable(cost)}\n`);
	console.log(JSON.stringify({
		bench: 'admission', seed, rows, stages, gains, hedging, refusals, lostZone, retries, cost,
	}));
}

function toRows(scenario: Scenario): Row[] {
	const head = {fleet: scenario.fleet.name, load: scenario.load};
	return [
		{...head, policy: 'paper', ...toPaperBound(scenario, batchShare)},
		...policies.map(policy => ({...head, policy: policy.name, ...measure(scenario, simulate(scenario, policy))})),
	];
}

function toTable(rows: ReadonlyArray<Readonly<Record<string, string | number | undefined>>>): string {
	const heads = [...new Set(rows.flatMap(row => Object.keys(row)))];
	const lines = rows.map(row => heads.map(head => toCell(head, row[head])));
	const widths = heads.map((head, index) => Math.max(head.length, ...lines.map(line => line[index]!.length)));
	return [heads, ...lines].map(line => line.map((cell, index) => cell.padEnd(widths[index]!)).join('  ').trimEnd()).join('\n');
}

const percentColumns = new Set([
	'quickGood',
	'batchGood',
	'batchOfLeft',
	'wastedCallerGone',
	'wastedExpired',
	'wastedHedge',
	'wastedStalled',
	'wasted',
	'stallPart',
	'failPart',
	'atArrival',
	'refusedAtP50',
	'refusedAtP99',
	'wouldHaveMadeAtArrival',
	'wouldHaveMadeWaiting',
	'answeredFixed',
	'answeredBudget',
]);

function toCell(head: string, value: string | number | undefined): string {
	if (typeof value !== 'number') {
		return value ?? '-';
	}

	if (percentColumns.has(head)) {
		return (100 * value).toFixed(1);
	}

	return head === 'jain' ? value.toFixed(3) : String(Math.round(value * 100) / 100);
}
