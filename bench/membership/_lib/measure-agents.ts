/** Measures real agents, one process each, on this machine: bytes, CPU time, memory, and detection of a dead host. */
import {setTimeout as sleep} from 'node:timers/promises';
import {startEngineStandIn} from '../../../test/stand-ins/engine/index.js';
import {startPlatformStandIn} from '../../../test/stand-ins/platform/index.js';
import {startProgram, type Program} from '../../../test/_lib/start-program/index.js';
import {readCpuSeconds, readMemoryMb} from '../../_lib/read-process.js';

const settleMs = 15_000;
const measureMs = 20_000;
const deathLimitMs = 30_000;
const startTogether = 4;

export type AgentsRow = {
	agents: number;
	zones: number;
	/** Extra Node options. */
	nodeOptions: string;
	/** Bytes of frames, without TCP and IP headers. */
	sentBytesPerSecond: number;
	receivedBytesPerSecond: number;
	/** CPU use of the mean and of the busiest agent, as a percentage of one core. */
	meanCpuPercent: number;
	maxCpuPercent: number;
	meanResidentMb: number;
	maxResidentMb: number;
	/** Proportional set size: pages that processes share, such as those of the Node binary, are divided among them. */
	meanProportionalMb: number;
	/** Resident memory that is not backed by a file. */
	meanAnonymousMb: number;
	falseSuspicions: number;
	/** Time from the kill of one agent until all others have declared it dead. */
	deadAfterMs: number;
	platformReads: number;
	peakPlatformReadsPerSecond: number;
};

type Status = {hosts: ReadonlyArray<{id: string; life: string}>; counts: {sentBytes: number; receivedBytes: number}};

async function readStatus(agent: Program): Promise<Status> {
	const response = await fetch(`http://127.0.0.1:${agent.port('operatorPort')}/status`);
	return await response.json() as Status;
}

function toMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}

function toText(names: ReadonlyArray<{id: string; zone: string}>, urls: Readonly<Record<'decode' | 'prefill', string>>): string {
	return [
		'zones:',
		...[...new Set(names.map(({zone}) => zone))].map(zone => `  - {id: ${zone}, region: one}`),
		'hosts:',
		...names.map(({id, zone}) => `  - {id: ${id}, zone: ${zone}}`),
		'pools: [{name: letters, model: summary, version: "1", classes: [quick, batch]}]',
		'servers:',
		...(['decode', 'prefill'] as const).map(role => `  - {id: ${role}-1, zone: ${names[0]!.zone}, url: '${urls[role]}', role: ${role}, pool: letters, slots: 20}`),
		'rules: [{name: all, then: {pool: letters, class: batch, repeatable: false, target: {firstToken: 2s, perToken: 100ms, complete: 1m}}}]',
		'weightStoreBytesPerSecond: 300MB',
		'end: banyanport',
		'',
	].join('\n');
}

async function measureDeath(agents: readonly Program[], victim: {id: string; agent: Program}): Promise<number> {
	await victim.agent.kill('SIGKILL');
	const killedAt = performance.now();
	while (performance.now() - killedAt < deathLimitMs) {
		const all = await Promise.all(agents.filter(agent => agent !== victim.agent).map(async agent => readStatus(agent)));
		if (all.every(({hosts}) => hosts.find(({id}) => id === victim.id)?.life === 'dead')) {
			break;
		}

		await sleep(100);
	}

	return Math.round(performance.now() - killedAt);
}

/**
 * Measures a fleet of one size, and stops all started processes before it returns.
 *
 * @param zoneCount - Number of zones.
 * @param hostsOfZone - Number of agents in each zone.
 * @param nodeOptions - Extra Node options.
 * @returns Row for this size.
 */
export async function measureAgents(zoneCount: number, hostsOfZone: number, nodeOptions: readonly string[] = []): Promise<AgentsRow> {
	const names = Array.from({length: zoneCount * hostsOfZone}, (_, i) => ({id: `zone-${i % zoneCount}-${Math.floor(i / zoneCount)}`, zone: `zone-${i % zoneCount}`}));
	const decode = await startEngineStandIn({id: 'decode-1', role: 'decode', model: 'summary'});
	const prefill = await startEngineStandIn({id: 'prefill-1', role: 'prefill', model: 'summary'});
	const platform = await startPlatformStandIn({config: toText(names, {decode: decode.url, prefill: prefill.url}), fleet: {hosts: [], servers: []}});
	const agents: Program[] = [];
	try {
		while (agents.length < names.length) {
			const seeds = agents.slice(0, 3).map(agent => `127.0.0.1:${agent.port('peerPort')}`);
			const part = names.slice(agents.length, agents.length + (agents.length === 0 ? 1 : startTogether));
			agents.push(...await Promise.all(part.map(async ({id, zone}) => startProgram({
				program: 'agent',
				label: id,
				nodeOptions,
				startDeadlineMs: 30_000,
				flags: {
					hostId: id, zone, platformUrl: platform.url, peerPort: 0, operatorPort: 0, ...(seeds.length > 0 ? {seeds} : {}),
				},
			}))));
		}

		await sleep(settleMs);
		const before = await Promise.all(agents.map(async agent => ({status: await readStatus(agent), cpu: readCpuSeconds(agent.pid)})));
		const startedAt = performance.now();
		await sleep(measureMs);
		const cpuSeconds = agents.map(agent => readCpuSeconds(agent.pid));
		const seconds = (performance.now() - startedAt) / 1000;
		const memory = agents.map(agent => readMemoryMb(agent.pid, 'VmRSS'));
		const anonymous = agents.map(agent => readMemoryMb(agent.pid, 'RssAnon'));
		const proportional = agents.map(agent => readMemoryMb(agent.pid, 'Pss', 'smaps_rollup'));
		const afterwards = await Promise.all(agents.map(async agent => readStatus(agent)));
		const rates = (key: 'sentBytes' | 'receivedBytes') => afterwards.map(({counts}, i) => (counts[key] - before[i]!.status.counts[key]) / seconds);
		const cpu = cpuSeconds.map((value, i) => (value - before[i]!.cpu) / seconds * 100);
		const judged = platform.judge();
		const deadAfterMs = await measureDeath(agents, {id: names.at(-1)!.id, agent: agents.at(-1)!});
		return {
			agents: names.length,
			zones: zoneCount,
			nodeOptions: nodeOptions.join(' '),
			sentBytesPerSecond: Math.round(toMean(rates('sentBytes'))),
			receivedBytesPerSecond: Math.round(toMean(rates('receivedBytes'))),
			meanCpuPercent: round(toMean(cpu)),
			maxCpuPercent: round(Math.max(...cpu)),
			meanResidentMb: round(toMean(memory)),
			maxResidentMb: round(Math.max(...memory)),
			meanProportionalMb: round(toMean(proportional)),
			meanAnonymousMb: round(toMean(anonymous)),
			falseSuspicions: afterwards.reduce((sum, {hosts}) => sum + hosts.filter(({life}) => life !== 'alive').length, 0),
			deadAfterMs,
			platformReads: judged.reads,
			peakPlatformReadsPerSecond: judged.peakReadsPerSecond,
		};
	} finally {
		await Promise.all(agents.filter(agent => agent.isRunning()).map(async agent => agent.stop()));
		await Promise.all([platform.stop(), decode.stop(), prefill.stop()]);
	}
}
