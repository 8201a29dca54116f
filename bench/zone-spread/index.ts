/** Measures, on a logical clock and for three sizes, the bytes that agents send each other and the time until other zones know of a change in a zone. */
import {measureSpread, type SpreadRow} from './_lib/measure-spread.js';

const sizes = [[4, 16], [8, 64], [12, 400]] as const;

function toZones(zones: number, hosts: number): Record<string, number> {
	return Object.fromEntries(Array.from({length: zones}, (_, i) => [`zone-${i + 1}`, Math.floor(hosts / zones) + (i < hosts % zones ? 1 : 0)]));
}

/**
 * Runs the bench. Prints a row for each size, then all rows as JSON.
 *
 * @returns The printed rows.
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
