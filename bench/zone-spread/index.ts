/** Measures, on a logical clock, what agents send each other at three sizes, and how soon a zone's change is known in all others. */
import {measureSpread, type SpreadRow} from './_lib/measure-spread.js';

const sizes = [[4, 16], [8, 64], [12, 400]] as const;

function toZones(zones: number, hosts: number): Record<string, number> {
	return Object.fromEntries(Array.from({length: zones}, (_, i) => [`zone-${i + 1}`, Math.floor(hosts / zones) + (i < hosts % zones ? 1 : 0)]));
}

/**
 * Runs the bench and prints a row for each size, and after them the rows as JSON.
 *
 * @returns The rows.
 */
export async function runZoneSpreadBench(): Promise<readonly SpreadRow[]> {
	const rows: SpreadRow[] = [];
	for (const [zones, hosts] of sizes) {
		rows.push(await measureSpread(toZones(zones, hosts)));
		console.log(rows.at(-1));
	}

	console.log(JSON.stringify({bench: 'zone-spread', rows}));
	return rows;
}
