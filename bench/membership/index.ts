/**
 * Measures the cost of membership and the time to detect a dead host: simulated on a
 * logical clock up to the target size of the fleet, and with real agents up to the
 * number that fits on one machine.
 */
import process from 'node:process';
import {measureAgents, type AgentsRow} from './_lib/measure-agents.js';
import {measureLogical, type LogicalRow} from './_lib/measure-logical.js';

/** Node options for a small heap, as in the first line of the agent's `main.ts`. */
export const smallHeapOptions = ['--max-old-space-size=40', '--max-semi-space-size=1', '--single-threaded-gc', '--v8-pool-size=1', '--liftoff-only'];

function toZones(zones: number, hosts: number): Record<string, number> {
	return Object.fromEntries(Array.from({length: zones}, (_, i) => [`zone-${i + 1}`, Math.floor(hosts / zones) + (i < hosts % zones ? 1 : 0)]));
}

/**
 * Runs the bench. Prints tables, then all rows as JSON.
 *
 * @returns The printed rows.
 */
export async function runMembershipBench(): Promise<{logical: readonly LogicalRow[]; agents: readonly AgentsRow[]}> {
	const logical = [[2, 4], [4, 16], [8, 64], [12, 400]].map(([zones, hosts]) => measureLogical(toZones(zones!, hosts!)));
	console.table(logical);
	const sizes = [[2, 2], [4, 4], ...process.env.BENCH_SMALL === undefined ? [[4, 16]] : []];
	const agents: AgentsRow[] = [];
	for (const [zones, hosts] of sizes) {
		agents.push(await measureAgents(zones!, hosts!, smallHeapOptions));
	}

	agents.push(await measureAgents(2, 2));
	console.table(agents);
	console.log(JSON.stringify({bench: 'membership', logical, agents}));
	return {logical, agents};
}
