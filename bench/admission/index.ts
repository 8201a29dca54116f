/**
 * Compares ways of admitting on a logical clock: the same seeded arrivals for
 * each way, both users' fleets, four loads, with a burst of quick work, callers
 * that leave and one slow server in each pool.
 */
import process from 'node:process';
import {type Scenario} from './_lib/arrivals.js';
import {fleets} from './_lib/fleets.js';
import {type Figures, measure} from './_lib/measure.js';
import {policies} from './_lib/policies.js';
import {simulate} from './_lib/simulate.js';

export const loads = [0.6, 0.9, 1.1, 1.5];

type Row = Figures & {fleet: string; load: number; policy: string};

/** Runs the comparison and prints a table, or JSON with `--json`. */
export function runAdmissionBench(seed = 1): void {
	const rows: Row[] = [];
	for (const fleet of fleets) {
		for (const load of loads) {
			const scenario: Scenario = {
				fleet, load, seed, warmupMs: 100_000, horizonMs: 220_000, endsAtMs: 290_000, cancelPart: 0.05, burst: 2, slowFactor: 2,
			};
			rows.push(...policies.map(policy => ({
				fleet: fleet.name, load, policy: policy.name, ...measure(scenario, simulate(scenario, policy)),
			})));
		}
	}

	console.log(process.argv.includes('--json') ? JSON.stringify(rows, undefined, '\t') : toTable(rows));
}

function toTable(rows: readonly Row[]): string {
	const heads = ['fleet', 'load', 'policy', 'quick good', 'batch good', 'of left', 'p50', 'p95', 'p99', 'oldest', 'late', 'refused', 'bounce', 'gone', 'expired', 'Jain'];
	const lines = rows.map(row => [
		row.fleet,
		row.load,
		row.policy,
		toPercent(row.quickGood),
		toPercent(row.batchGood),
		toPercent(row.batchOfLeft),
		row.quickP50.toFixed(0),
		row.quickP95.toFixed(0),
		row.quickP99.toFixed(0),
		row.batchOldestWaitMs.toFixed(0),
		row.late,
		row.refused,
		row.bounces,
		toPercent(row.wastedCallerGone),
		toPercent(row.wastedExpired),
		row.jain.toFixed(3),
	].map(String));
	const widths = heads.map((head, index) => Math.max(head.length, ...lines.map(line => line[index]!.length)));
	return [heads, ...lines].map(line => line.map((cell, index) => cell.padEnd(widths[index]!)).join('  ').trimEnd()).join('\n');
}

function toPercent(part: number): string {
	return (100 * part).toFixed(1);
}
