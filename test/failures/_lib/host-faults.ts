/** What can happen to hosts while work that may run once only is on its way. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Program} from '../../_lib/start-program/index.js';
import {type Fleet, type FleetHost} from '../../_lib/start-fleet/index.js';

const twoMinutesMs = 120_000;
/** Longer than the patience of a claim's question, shorter than that of a join. */
const pausedMs = 3000;
/** Any free port, beside the sleeping process that still has the host's own. */
const otherPorts = {callerPort: 0, peerPort: 0, operatorPort: 0};

export type HostFault = {
	name: string;
	/** Hosts that vouch for no key of now while it lasts. */
	nonVouchingHosts: number;
	inject: (fleet: Fleet, host: FleetHost) => Promise<ActiveFault>;
};

export type ActiveFault = {
	/** Undoes the fault; what was lost stays lost. */
	undo: () => Promise<void>;
	/** Ends processes that the host no longer knows. */
	cleanUp?: () => Promise<void>;
};

const permanentFault: ActiveFault = {undo: async () => undefined};

async function restartEntry(host: FleetHost, aheadMs: number): Promise<ActiveFault> {
	await host.entry().kill();
	host.setClock({aheadMs});
	await host.startEntry();
	return permanentFault;
}

/** Starts a second process in the slot of one that sleeps; returns the old one. */
async function replacePausedEntry(host: FleetHost): Promise<Program> {
	const old = host.entry();
	old.pause();
	host.setClock({});
	await host.startEntry(otherPorts);
	return old;
}

/** Faults by short name; `satisfies` keeps the names. */
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
		name: 'its entry is killed and comes back',
		nonVouchingHosts: 1,
		inject: async (_fleet, host) => restartEntry(host, 0),
	},
	restartedAhead: {
		name: 'its entry is killed and comes back two minutes ahead',
		nonVouchingHosts: 1,
		inject: async (_fleet, host) => restartEntry(host, twoMinutesMs),
	},
	restartedBehind: {
		name: 'its entry is killed and comes back two minutes behind',
		nonVouchingHosts: 1,
		inject: async (_fleet, host) => restartEntry(host, -twoMinutesMs),
	},
	paused: {
		name: 'its host sleeps and wakes',
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
		name: 'it is replaced while it sleeps, and the old one wakes',
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
		name: 'its zone is cut off and comes back',
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
		name: 'the platform gives what it gave before',
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
