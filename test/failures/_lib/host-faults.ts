/** Faults that are injected into hosts while at-most-once work is in progress. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Program} from '../../_lib/start-program/index.js';
import {type Fleet, type FleetHost} from '../../_lib/start-fleet/index.js';

const twoMinutesMs = 120_000;
/** Longer than the timeout of a claim call, shorter than that of a join call. */
const pausedMs = 3000;
/** Any free port: the paused process still holds the host's own ports. */
const otherPorts = {callerPort: 0, peerPort: 0, operatorPort: 0};

export type HostFault = {
	name: string;
	/** Number of hosts that vouch for no current key while the fault lasts. */
	nonVouchingHosts: number;
	inject: (fleet: Fleet, host: FleetHost) => Promise<ActiveFault>;
};

export type ActiveFault = {
	/** Ends the fault; a killed process stays killed and lost state stays lost. */
	undo: () => Promise<void>;
	/** Kills processes that the host no longer tracks. */
	cleanUp?: () => Promise<void>;
};

const permanentFault: ActiveFault = {undo: async () => undefined};

async function restartEntry(host: FleetHost, aheadMs: number): Promise<ActiveFault> {
	await host.entry().kill();
	host.setClock({aheadMs});
	await host.startEntry();
	return permanentFault;
}

/** Pauses the host's entry and starts a second one in its slot; returns the paused one. */
async function replacePausedEntry(host: FleetHost): Promise<Program> {
	const old = host.entry();
	old.pause();
	host.setClock({});
	await host.startEntry(otherPorts);
	return old;
}

/** Faults by short name; `satisfies` keeps the literal types of the keys. */
export const hostFaults = {
	killed: {
		name: 'its entry is killed',
		nonVouchingHosts: 1,
		async inject(_fleet, host) {
			await host.kill();
			return permanentFault;
		},
	},
	restarted: {
		name: 'its entry is killed and restarted',
		nonVouchingHosts: 1,
		inject: async (_fleet, host) => restartEntry(host, 0),
	},
	restartedAhead: {
		name: 'its entry is killed and restarted with its clock two minutes ahead',
		nonVouchingHosts: 1,
		inject: async (_fleet, host) => restartEntry(host, twoMinutesMs),
	},
	restartedBehind: {
		name: 'its entry is killed and restarted with its clock two minutes behind',
		nonVouchingHosts: 1,
		inject: async (_fleet, host) => restartEntry(host, -twoMinutesMs),
	},
	paused: {
		name: 'the host is paused and resumed',
		nonVouchingHosts: 1,
		async inject(_fleet, host) {
			host.pause();
			const slept = sleep(pausedMs);
			return {
				async undo() {
					await slept;
					host.resume();
				},
			};
		},
	},
	replaced: {
		name: 'its entry is replaced while paused, and the old one resumes',
		nonVouchingHosts: 1,
		async inject(_fleet, host) {
			const old = await replacePausedEntry(host);
			return {
				async undo() {
					old.resume();
				},
				async cleanUp() {
					await old.kill();
				},
			};
		},
	},
	cut: {
		name: 'its zone is cut off and rejoined',
		nonVouchingHosts: 2,
		async inject(fleet, host) {
			fleet.network.isolate(host.zone);
			return {
				async undo() {
					fleet.network.heal();
				},
			};
		},
	},
	stale: {
		name: 'the platform keeps serving an old copy',
		nonVouchingHosts: 0,
		async inject(fleet) {
			fleet.platform.setFaults({frozen: true});
			return {
				async undo() {
					fleet.platform.setFaults({});
				},
			};
		},
	},
} satisfies Record<string, HostFault>;
