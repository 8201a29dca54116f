/** What can happen to hosts while work that may run once only is on its way. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Program} from '../../_lib/start-program/index.js';
import {type Fleet, type FleetHost} from '../../_lib/start-fleet/index.js';

const twoMinutesMs = 120_000;
/** Longer than the patience of a claim's question, shorter than that of a join. */
const sleepMs = 3000;
/** Any free port, beside the sleeping process that still has the host's own. */
const otherPorts = {callerPort: 0, peerPort: 0, operatorPort: 0};

export type HostFault = {
	name: string;
	/** Hosts that vouch for no key of now while it lasts. */
	hostsOut: number;
	strike: (fleet: Fleet, host: FleetHost) => Promise<Struck>;
};

export type Struck = {
	/** Undoes the fault; what was lost stays lost. */
	undo: () => Promise<void>;
	/** Ends processes that the host no longer knows. */
	clear?: () => Promise<void>;
};

const lasting: Struck = {undo: async () => undefined};

async function comeBack(host: FleetHost, aheadMs: number): Promise<Struck> {
	await host.entry().kill();
	host.setClock({aheadMs});
	await host.startEntry();
	return lasting;
}

/** Starts a second process in the slot of one that sleeps; returns the old one. */
async function replaceSleeping(host: FleetHost): Promise<Program> {
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
		hostsOut: 1,
		async strike(_fleet, host) {
			await host.kill();
			return lasting;
		},
	},
	back: {
		name: 'its entry is killed and comes back',
		hostsOut: 1,
		strike: async (_fleet, host) => comeBack(host, 0),
	},
	backAhead: {
		name: 'its entry is killed and comes back two minutes ahead',
		hostsOut: 1,
		strike: async (_fleet, host) => comeBack(host, twoMinutesMs),
	},
	backBehind: {
		name: 'its entry is killed and comes back two minutes behind',
		hostsOut: 1,
		strike: async (_fleet, host) => comeBack(host, -twoMinutesMs),
	},
	asleep: {
		name: 'its host sleeps and wakes',
		hostsOut: 1,
		async strike(_fleet, host) {
			host.pause();
			const slept = sleep(sleepMs);
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
		hostsOut: 1,
		async strike(_fleet, host) {
			const old = await replaceSleeping(host);
			return {
				async undo() {
					old.resume();
				},
				async clear() {
					await old.kill();
				},
			};
		},
	},
	cut: {
		name: 'its zone is cut off and comes back',
		hostsOut: 2,
		async strike(fleet, host) {
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
		hostsOut: 0,
		async strike(fleet) {
			fleet.platform.setFaults({frozen: true});
			return {
				async undo() {
					fleet.platform.setFaults({});
				},
			};
		},
	},
} satisfies Record<string, HostFault>;
