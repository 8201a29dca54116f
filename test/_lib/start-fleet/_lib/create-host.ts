/** One host of a test fleet: an agent and an entry that keep their ports across restarts. */
import {startProgram, type Program, type ProgramOptions} from '../../start-program/index.js';
import {pickPort} from '../../pick-port/index.js';
import {type Network, type Site} from './network.js';

export type Flags = NonNullable<ProgramOptions['flags']>;

/** Offset of the wall clock of a host; the monotonic clock is not changed. */
export type HostClock = {
	/** Offset from the true time, milliseconds; negative if the clock is behind. */
	aheadMs?: number;
	/** Makes a process seem to have started this long ago, milliseconds: its clock is set back by so much until it first listens. */
	startedAgoMs?: number;
};

export type FleetHost = {
	id: string;
	zone: string;
	/** Returns the agent's process that was started last, also if it has exited. */
	agent: () => Program;
	/** Returns the entry's process that was started last, also if it has exited. */
	entry: () => Program;
	/** Returns all processes of this host so far, also those that have exited. */
	programs: () => readonly Program[];
	callerUrl: string;
	agentAddress: string;
	agentOperatorUrl: string;
	entryOperatorUrl: string;
	/** Sets the wall clock of entries started after this call. */
	setClock: (clock: HostClock) => void;
	startAgent: (flags?: Flags) => Promise<Program>;
	startEntry: (flags?: Flags) => Promise<Program>;
	/** Kills the agent and the entry at the same time. */
	kill: () => Promise<void>;
	pause: () => void;
	resume: () => void;
	/** Stops the entry and then the agent, in the order that an operator uses. */
	stop: (deadlineMs?: number) => Promise<void>;
	start: () => Promise<void>;
};

export type HostOptions = {
	id: string;
	zone: string;
	platformUrl: string;
	/** Addresses of the agents of all hosts; the host leaves its own out. */
	seeds: () => readonly string[];
	agentFlags: Flags;
	entryFlags: Flags;
	entryClock: HostClock;
	network: {network: Network; site: Site} | undefined;
	/** Folder of the build whose programs the host runs, with a closing slash; this build by default. */
	build?: URL | undefined;
};

const shiftClock = new URL('shift-clock.js', import.meta.url).href;

/** Returns the environment and Node options that give an entry its network and its clock. */
function toEntryOptions(network: HostOptions['network'], {aheadMs = 0, startedAgoMs = 0}: HostClock): Pick<ProgramOptions, 'env' | 'nodeOptions'> {
	const networkOptions = network?.network.toProcessOptions(network.site);
	return aheadMs === 0 && startedAgoMs === 0
		? {...networkOptions}
		: {
			env: {...networkOptions?.env, FLEET_CLOCK_AHEAD: String(aheadMs), FLEET_STARTED_AGO: String(startedAgoMs)},
			nodeOptions: [...networkOptions?.nodeOptions ?? [], '--import', shiftClock],
		};
}

/** Allocates the ports of a host without starting its programs. */
export async function createHost(options: HostOptions): Promise<FleetHost> {
	const {id, zone, network} = options;
	const ports = {
		callerPort: await pickPort(),
		agentPeerPort: await pickPort(),
		entryPeerPort: await pickPort(),
		agentOperatorPort: await pickPort(),
		entryOperatorPort: await pickPort(),
	};

	const agentAddress = `127.0.0.1:${ports.agentPeerPort}`;
	if (network !== undefined) {
		await network.network.addTarget(network.site, ports.agentPeerPort);
		await network.network.addTarget(network.site, ports.entryPeerPort);
	}

	let clock = options.entryClock;
	let agent: Program | undefined;
	let entry: Program | undefined;
	const programs: Program[] = [];
	const requireStarted = (program: Program | undefined, name: string): Program => {
		if (program === undefined) {
			throw new Error(`the ${name} of host ${id} has not been started yet`);
		}

		return program;
	};

	const host: FleetHost = {
		id,
		zone,
		agent: () => requireStarted(agent, 'agent'),
		entry: () => requireStarted(entry, 'entry'),
		programs: () => programs,
		callerUrl: `http://127.0.0.1:${ports.callerPort}`,
		agentAddress,
		agentOperatorUrl: `http://127.0.0.1:${ports.agentOperatorPort}`,
		entryOperatorUrl: `http://127.0.0.1:${ports.entryOperatorPort}`,
		setClock(next) {
			clock = next;
		},
		async startAgent(flags = {}) {
			agent = await startProgram({
				program: 'agent',
				...(options.build && {build: options.build}),
				label: `agent of ${id}`,
				flags: {
					hostId: id,
					zone,
					peerPort: ports.agentPeerPort,
					operatorPort: ports.agentOperatorPort,
					platformUrl: options.platformUrl,
					seeds: options.seeds().filter(seed => seed !== agentAddress),
					...options.agentFlags,
					...flags,
				},
				...network?.network.toProcessOptions(network.site),
			});
			programs.push(agent);
			return agent;
		},
		async startEntry(flags = {}) {
			entry = await startProgram({
				program: 'entry',
				...(options.build && {build: options.build}),
				label: `entry of ${id}`,
				flags: {
					hostId: id,
					zone,
					callerPort: ports.callerPort,
					peerPort: ports.entryPeerPort,
					operatorPort: ports.entryOperatorPort,
					agentAddress,
					...options.entryFlags,
					...flags,
				},
				...toEntryOptions(network, clock),
			});
			programs.push(entry);
			return entry;
		},
		async kill() {
			await Promise.all([agent?.kill(), entry?.kill()]);
		},
		pause() {
			agent?.pause();
			entry?.pause();
		},
		resume() {
			agent?.resume();
			entry?.resume();
		},
		async stop(deadlineMs) {
			await entry?.stop(deadlineMs);
			await agent?.stop(deadlineMs);
		},
		async start() {
			await Promise.all([host.startAgent(), host.startEntry()]);
		},
	};
	return host;
}
