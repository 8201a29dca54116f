/** Compares strategies for spilling the requests of a zone that has lost its servers. */
import {simulate, type SpillOutcome, type Strategy} from './simulate.js';

const strategies: readonly Strategy[] = ['blind', 'round-robin', 'greatest', 'summaries', 'summaries, own alone', 'summaries, no ramp', 'summaries, digest'];
const seeds = [1, 2, 3];

const toShort = (value: string | number): string | number => typeof value === 'number' ? Math.round(value * 1000) / 1000 : value;

/**
 * Runs the bench. Prints a row for each strategy and seed, then all rows as JSON.
 *
 * @returns The printed rows.
 */
export function runSpillBench(): readonly SpillOutcome[] {
	const rows = strategies.flatMap(strategy => seeds.map(seed => simulate(strategy, seed)));
	console.table(rows.map(row => Object.fromEntries(Object.entries(row).map(([key, value]) => [key, toShort(value)]))));
	console.log(JSON.stringify({bench: 'spill', rows}));
	return rows;
}
