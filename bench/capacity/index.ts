/**
 * Measures the slopes from which the figures of `docs/CAPACITY.md` are computed, and
 * prints them as a table and as JSON.
 */
import {measureAgentLoad, type AgentLoadRow} from './measure-agent-load.js';
import {measureSlopes, type Slope} from './measure-slopes.js';

const agentSizes: ReadonlyArray<[workspaces: number, polledServers: number]> = [[10, 2], [10, 8], [10, 32], [1800, 8], [6000, 8], [18_000, 8]];

function toRounded(value: number): number {
	return Number(value.toPrecision(3));
}

/** Runs the bench. Prints the slopes, then the measurements of real agents, then both as JSON. */
export async function runCapacityBench(): Promise<{slopes: readonly Slope[]; agents: readonly AgentLoadRow[]}> {
	const slopes = measureSlopes();
	console.table(slopes.map(({name, unit, per, slope, intercept, r2, points}) => ({
		name, unit: `${unit}/${per}`, slope: toRounded(slope), intercept: toRounded(intercept), r2: toRounded(r2), points: points.map(({size, value}) => `${size}: ${toRounded(value)}`).join(', '),
	})));
	const agents: AgentLoadRow[] = [];
	for (const [workspaces, polledServers] of agentSizes) {
		agents.push(await measureAgentLoad(workspaces, polledServers));
	}

	agents.push(await measureAgentLoad(10, 2, false));
	console.table(agents);
	console.log(JSON.stringify({bench: 'capacity', slopes, agents}));
	return {slopes, agents};
}
