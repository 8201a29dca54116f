/** Injects faults of a host and of the platform in virtual time, and checks an invariant after each step. */
import {type Milliseconds} from '../../../../ports/clock.js';
import {type PlatformBackup} from './create-scripted-platform.js';
import {startFollowed, type Followed} from './start-followed.js';

/** Time after its last fault within which a host must act on what is published, less the transit time of a request. */
const actDeadlineMs: Milliseconds = 3000 - 100;

/** Time for which a leaving server still serves. */
const leaveNoticeMs: Milliseconds = 2000;

/** Shortest outage in which an entry can lapse. Entries lapse after three heartbeats of 1.2 s; at worst the outage begins just before the second of them. */
const minLapseMs: Milliseconds = 2400;

const stepMs: Milliseconds = 50;
const quietMs: Milliseconds = 6000;

export type Path = 'refusing' | 'silent';

export type Fault =
	| {kind: 'cut'; path: Path; forMs: Milliseconds}
	| {kind: 'outage'; path: Path; forMs: Milliseconds; backMs: Milliseconds; lapses: boolean}
	| {kind: 'silence' | 'forget' | 'rules' | 'leave' | 'announce'}
	| {kind: 'pause'; forMs: Milliseconds}
	| Reset;

/** The platform goes away briefly and comes back from a copy; rules and servers are then written again in a random order. */
export type Reset = {
	kind: 'reset';
	path: Path;
	forMs: Milliseconds;
	/** Age of the copy; a copy from before the start is empty. */
	copyAgeMs: Milliseconds;
	/** Time from the return to the next write of the rules, of the staying server, and of the leaving one. */
	rewriteMs: readonly [rules: Milliseconds, stays: Milliseconds, leaves: Milliseconds];
	/** Whether the next answer is a late one from before the loss. */
	isLate: boolean;
};

export type Step = {afterMs: Milliseconds; fault: Fault};

export type Simulation = {
	followed: Followed;
	/** End of the last fault that excuses the host for being late. */
	faultsEndAt: Milliseconds;
	/** Time at which each server left or announced its leaving, by name. */
	departures: Map<string, Milliseconds>;
	/** Whether the server announced its leaving; otherwise its entry was removed. */
	wasAnnounced: boolean;
	/** Scheduled actions. */
	scheduled: Array<{at: Milliseconds; act: () => void}>;
	cuts: number;
	outages: number;
	/** Copies of the platform's content in the order of time; the first one is empty. */
	copies: Array<{at: Milliseconds; copy: PlatformBackup}>;
	/** Whether the host has known that the leaving server leaves. */
	hasSeenLeave: boolean;
	/** Edition in force on the host at the last check. */
	edition: number;
	wasReset: boolean;
	actWithinMs: Milliseconds;
};

function startSimulation(followed: Followed, actWithinMs: Milliseconds): Simulation {
	return {
		followed, faultsEndAt: 0, departures: new Map(), wasAnnounced: false, scheduled: [], cuts: 0, outages: 0, copies: [{at: -Infinity, copy: {items: new Map(), history: [], revision: 0}}], hasSeenLeave: false, edition: 0, wasReset: false, actWithinMs,
	};
}

/** Makes the platform unreachable while any cut or outage lasts; the last one to begin or end determines how. */
function setPath(simulation: Simulation, path: Path): void {
	simulation.followed.platform.setReachability(simulation.cuts + simulation.outages > 0 ? path : 'well');
}

function startOutage(simulation: Simulation, what: 'cuts' | 'outages', {path, forMs}: {path: Path; forMs: Milliseconds}): Milliseconds {
	const endsAt = simulation.followed.time.clock.now() + forMs;
	simulation[what]++;
	setPath(simulation, path);
	simulation.faultsEndAt = Math.max(simulation.faultsEndAt, endsAt);
	simulation.scheduled.push({
		at: endsAt, act() {
			simulation[what]--;
			setPath(simulation, path);
		},
	});
	return endsAt;
}

/** Makes the leaving server leave, unless the platform is away: the server could not write to it. */
function leave(simulation: Simulation, isAnnounced: boolean): void {
	const {platform, time} = simulation.followed;
	if (simulation.outages > 0 || simulation.departures.size > 0) {
		return;
	}

	simulation.departures.set('leaves', time.clock.now());
	simulation.wasAnnounced = isAnnounced;
	if (isAnnounced) {
		platform.put('leaves', true);
	} else {
		platform.remove('leaves');
	}
}

/** Publishes a lapsed server again some time after the platform's return, or after the next outage if one began in between. */
function scheduleRepublish(simulation: Simulation, endsAt: Milliseconds, backMs: Milliseconds): void {
	const {time, platform} = simulation.followed;
	simulation.scheduled.push({
		at: endsAt + backMs, act() {
			if (simulation.outages > 0) {
				scheduleRepublish(simulation, time.clock.now() + stepMs, backMs);
			} else {
				platform.put('stays');
			}
		},
	});
}

/** Writes the last known state of the leaving server again. */
function writeLeavingServer({followed: {platform}, departures, wasAnnounced}: Simulation): void {
	if (!departures.has('leaves')) {
		platform.put('leaves');
	} else if (wasAnnounced) {
		platform.put('leaves', true);
	} else {
		platform.remove('leaves');
	}
}

/** Schedules a write, and postpones it while the platform is away. */
function scheduleWrite(simulation: Simulation, at: Milliseconds, write: () => void): void {
	simulation.scheduled.push({
		at, act() {
			if (simulation.outages > 0) {
				scheduleWrite(simulation, simulation.followed.time.clock.now() + stepMs, write);
			} else {
				write();
			}
		},
	});
}

function resetPlatform(simulation: Simulation, fault: Reset): void {
	const {platform, time} = simulation.followed;
	const from = time.clock.now() - fault.copyAgeMs;
	const {copy} = simulation.copies.findLast(({at}) => at <= from)!;
	simulation.wasReset = true;
	// The content is lost before the platform is reachable again.
	platform.setReachability(fault.path);
	platform.restoreFrom(copy);
	const endsAt = startOutage(simulation, 'outages', fault);
	simulation.copies = simulation.copies.filter(({at}) => at <= from);
	const [rules, stays, leaves] = fault.rewriteMs;
	scheduleWrite(simulation, endsAt + rules, platform.rewriteRules);
	scheduleWrite(simulation, endsAt + stays, () => {
		platform.put('stays');
	});
	scheduleWrite(simulation, endsAt + leaves, () => {
		writeLeavingServer(simulation);
	});
	if (fault.isLate) {
		platform.delayAnswer();
	}
}

function injectFault(simulation: Simulation, fault: Fault): void {
	const {platform, time} = simulation.followed;
	switch (fault.kind) {
		case 'cut': {
			startOutage(simulation, 'cuts', fault);
			break;
		}

		case 'outage': {
			const endsAt = startOutage(simulation, 'outages', fault);
			if (fault.lapses && fault.forMs >= minLapseMs) {
				platform.remove('stays');
				scheduleRepublish(simulation, endsAt, fault.backMs);
			}

			break;
		}

		case 'reset': {
			resetPlatform(simulation, fault);
			break;
		}

		case 'silence': {
			platform.hangConnection();
			simulation.faultsEndAt = Math.max(simulation.faultsEndAt, time.clock.now());
			break;
		}

		case 'pause': {
			time.suspend(fault.forMs);
			simulation.faultsEndAt = Math.max(simulation.faultsEndAt, time.clock.now());
			break;
		}

		case 'forget': {
			platform.forget();
			break;
		}

		case 'rules': {
			platform.publishRules();
			break;
		}

		case 'leave':
		case 'announce': {
			leave(simulation, fault.kind === 'announce');
			break;
		}
	}
}

/** Returns a message if the host uses the leaving server later than it may. */
export function findLateUse({followed, faultsEndAt, departures, wasReset, actWithinMs}: Simulation): string | undefined {
	const now = followed.time.clock.now();
	const leftAt = departures.get('leaves');
	// After a loss, only the next write of a server tells that it leaves, and the host has its usual time to act on that write.
	const serveMs = wasReset ? Math.max(leaveNoticeMs, actWithinMs) : leaveNoticeMs;
	const mustNotUse = leftAt !== undefined && now >= Math.max(faultsEndAt + actDeadlineMs, leftAt + serveMs);
	return mustNotUse && followed.used().includes('leaves') ? `used ${now - leftAt} ms after it left, ${now - faultsEndAt} ms after the last fault` : undefined;
}

/** Returns a message if the host went back to an older edition or uses a server again that has left. */
export function findRegression(simulation: Simulation): string | undefined {
	const {followed, departures} = simulation;
	const {follower, time} = followed;
	const edition = follower.toView()?.accepted?.version.edition ?? 0;
	const isUsed = followed.used().includes('leaves');
	const now = time.clock.now();
	if (edition < simulation.edition) {
		return `edition ${edition} after ${simulation.edition} at ${now}`;
	}

	if (simulation.hasSeenLeave && isUsed) {
		return `a server that had left is used again at ${now}`;
	}

	simulation.edition = edition;
	simulation.hasSeenLeave ||= departures.has('leaves') && !isUsed;
	return undefined;
}

/** Advances time in small steps; in each, runs the scheduled actions that are due and checks afterwards. */
async function advance(simulation: Simulation, ms: Milliseconds, check: () => void): Promise<void> {
	const {time} = simulation.followed;
	const until = time.clock.now() + ms;
	while (time.clock.now() < until) {
		const due = simulation.scheduled.filter(({at}) => at <= time.clock.now());
		simulation.scheduled = simulation.scheduled.filter(entry => !due.includes(entry));
		for (const {act} of due) {
			act();
		}

		await time.runUntil(Math.min(until, time.clock.now() + stepMs));
		if (simulation.outages === 0) {
			simulation.copies.push({at: time.clock.now(), copy: simulation.followed.platform.backup()});
		}

		check();
	}
}

export type HostVariant = {
	/** Constant that the host gets as each random number. */
	randomValue: number;
	actWithinMs: Milliseconds;
};

/**
 * Injects faults one after the other, with quiet time before and after.
 *
 * @param steps - Faults, each with the time from its beginning to the next step.
 * @param host - Random number and deadline of the host.
 * @param findViolation - Called after each small step; returns a message if the invariant does not hold.
 * @returns The first violation; `undefined` if there was none.
 */
export async function runScenario(steps: readonly Step[], {randomValue, actWithinMs}: HostVariant, findViolation: (simulation: Simulation) => string | undefined): Promise<string | undefined> {
	const followed = startFollowed(() => randomValue, actWithinMs);
	const simulation = startSimulation(followed, actWithinMs);
	let violation: string | undefined;
	const check = () => {
		violation ??= findViolation(simulation);
	};

	await advance(simulation, quietMs, check);
	for (const step of steps) {
		injectFault(simulation, step.fault);
		await advance(simulation, step.afterMs, check);
	}

	while (simulation.scheduled.length > 0) {
		await advance(simulation, stepMs, check);
	}

	await advance(simulation, quietMs, check);
	await followed.stop();
	return violation;
}

/** Returns a message if the host does not use the staying server. */
export const findDropped = ({followed}: Simulation): string | undefined =>
	followed.used().includes('stays') || followed.follower.toView() === undefined ? undefined : `dropped at ${followed.time.clock.now()}`;
