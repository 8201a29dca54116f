/** Measures one real agent with documents and server lists of several sizes: memory, CPU time, and reads of the platform. */
import {setTimeout as sleep} from 'node:timers/promises';
import {toFleetConfig} from '../../src/domain/_test/to-fleet-config.js';
import {toConfigText} from '../../src/domain/to-config-text/index.js';
import {startProgram} from '../../test/_lib/start-program/index.js';
import {startEngineStandIn, type EngineStandIn} from '../../test/stand-ins/engine/index.js';
import {startPlatformStandIn} from '../../test/stand-ins/platform/index.js';
import {readCpuSeconds, readMemoryMb} from '../_lib/read-process.js';
import {smallHeapOptions} from '../membership/index.js';

/** Longer than the first 15 s after a start, in which the agent sweeps more often. */
const settleMs = 25_000;
const measureMs = 10_000;

export type AgentLoadRow = {
	workspaces: number;
	documentBytes: number;
	polledServers: number;
	nodeOptions: string;
	cpuPercent: number;
	residentMb: number;
	/** Highest resident memory since the start. */
	peakMb: number;
	platformReadsPerSecond: number;
};

function toText(workspaces: number, engines: readonly EngineStandIn[]): string {
	const config = toFleetConfig(Math.max(2, Math.round(workspaces * 11 / 18)), workspaces);
	const servers = engines.map((engine, i) => ({...config.servers[i === 0 ? 0 : 1]!, id: engine.id, url: engine.url}));
	return toConfigText({...config, servers});
}

/**
 * Measures one size, and stops all started processes before it returns.
 *
 * @param workspaces - Number of workspaces in the document.
 * @param polledServers - Number of engines that the agent polls, at least two.
 * @param isSmallHeap - Whether to start Node with the recommended options for a small heap.
 * @returns Row for this size.
 */
export async function measureAgentLoad(workspaces: number, polledServers: number, isSmallHeap = true): Promise<AgentLoadRow> {
	const engines = await Promise.all(Array.from({length: polledServers}, async (_, i) => startEngineStandIn({
		id: `e${i}`, role: i === 0 ? 'prefill' : 'decode', model: 'm', version: '1',
	})));
	const text = toText(workspaces, engines);
	const platform = await startPlatformStandIn({config: text, fleet: {hosts: [], servers: []}});
	const nodeOptions = isSmallHeap ? smallHeapOptions : [];
	const agent = await startProgram({
		program: 'agent',
		nodeOptions,
		flags: {
			hostId: 'a-1', zone: 'a', platformUrl: platform.url, peerPort: 0, operatorPort: 0,
		},
	});
	try {
		await sleep(settleMs);
		const cpuBefore = readCpuSeconds(agent.pid);
		const readsBefore = platform.judge().reads;
		await sleep(measureMs);
		return {
			workspaces,
			documentBytes: text.length,
			polledServers,
			nodeOptions: nodeOptions.join(' '),
			cpuPercent: Number(((readCpuSeconds(agent.pid) - cpuBefore) / (measureMs / 1000) * 100).toFixed(2)),
			residentMb: Number(readMemoryMb(agent.pid, 'VmRSS').toFixed(1)),
			peakMb: Number(readMemoryMb(agent.pid, 'VmHWM').toFixed(1)),
			platformReadsPerSecond: Number(((platform.judge().reads - readsBefore) / (measureMs / 1000)).toFixed(2)),
		};
	} finally {
		await agent.stop();
		await Promise.all([platform.stop(), ...engines.map(async engine => engine.stop())]);
	}
}
