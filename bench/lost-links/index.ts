/** Compares what hosts can do that have lost their links to all servers. */
import {
	simulate, type Outcome, type Scenario, type Strategy,
} from './simulate.js';

const strategies: readonly Strategy[] = ['none', 'leave', 'refuse', 'pass'];
const seeds = [1, 2, 3];

const toRange = (length: number, first = 0, step = 1): readonly number[] => Array.from({length}, (_, i) => first + (i * step));

const scenarios: readonly Scenario[] = [
	{
		name: '1 of 9', zones: 3, hostsPerZone: 3, cut: [0],
	},
	{
		name: '4 of 9, most of a zone', zones: 3, hostsPerZone: 3, cut: [0, 3, 1, 2],
	},
	{
		name: 'a zone of 3', zones: 3, hostsPerZone: 3, cut: [0, 3, 6],
	},
	{
		name: 'a zone of 34 of 408', zones: 12, hostsPerZone: 34, cut: toRange(34, 0, 12),
	},
];

const toShort = (value: string | number): string | number => typeof value === 'number' ? Math.round(value * 1000) / 1000 : value;

/**
 * Runs the bench. Prints a row for each scenario, strategy and seed, then all rows as JSON.
 *
 * @returns The printed rows.
 */
export function runLostLinksBench(): readonly Outcome[] {
	const rows = scenarios.flatMap(scenario => strategies.flatMap(strategy => seeds.map(seed => simulate(scenario, strategy, seed))));
	console.table(rows.map(row => Object.fromEntries(Object.entries(row).map(([key, value]) => [key, toShort(value)]))));
	console.log(JSON.stringify({bench: 'lost-links', rows}));
	return rows;
}
