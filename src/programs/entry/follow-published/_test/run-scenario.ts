/** Plays troubles of a host and of the platform in virtual time, and looks after each step. */
import {type Milliseconds} from '../../../../ports/clock.js';
import {type PlatformBackup} from './create-scripted-platform.js';
import {startFollowed, type Followed} from './start-followed.js';

/** Without trouble for so long, a host must act on what is published; less what a request may be on its way. */
const actDeadlineMs: Milliseconds = 3000 - 100;

/** A server that leaves serves on for so long. */
const leaveNoticeMs: Milliseconds = 2000;

/** Entries lapse after three heartbeats of 1.2 s; in the shortest outage that lets one lapse, its server has just missed its next. */
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

/** The platform is away for a moment and comes back from a copy; everybody writes again in the order that the draws give. */
export type Reset = {
	kind: 'reset';
	path: Path;
	forMs: Milliseconds;
	/** Age of the copy; one of before the start has nothing. */
	copyAgeMs: Milliseconds;
	/** From the return to the next writing of the rules, of the server that stays, and of the one that leaves. */
	rewriteMs: readonly [rules: Milliseconds, stays: Milliseconds, leaves: Milliseconds];
	/** An answer of before arrives late, as the next one. */
	isLate: boolean;
};

export type Step = {afterMs: Milliseconds; fault: Fault};

export type Simulation = {
	followed: Followed;
	/** When the last trouble that excuses the host ended. */
	faultsEndAt: Milliseconds;
	/** When servers that left had said so, by name. */
	departures: Map<string, Milliseconds>;
	/** Whether it announced that before it went. */
	wasAnnounced: boolean;
	/** What happens at its time. */
	scheduled: Array<{at: Milliseconds; act: () => void}>;
	cuts: number;
	outages: number;
	/** What the platform had, in the order of time; nothing at first. */
	copies: Array<{at: Milliseconds; copy: PlatformBackup}>;
	/** The host knew that the server which leaves does so. */
	hasSeenLeave: boolean;
	/** Newest edition in force on the host. */
	edition: number;
	wasReset: boolean;
	actWithinMs: Milliseconds;
};

function startSimulation(followed: Followed, actWithinMs: Milliseconds): Simulation {
	return {
		followed, faultsEndAt: 0, departures: new Map(), wasAnnounced: false, scheduled: [], cuts: 0, outages: 0, copies: [{at: -Infinity, copy: {items: new Map(), history: [], revision: 0}}], hasSeenLeave: false, edition: 0, wasReset: false, actWithinMs,
	};
}

/** The way to the platform is closed while any trouble closes it; the last one says how. */
function setPath(simulation: Simulation, way: Path): void {
	simulation.followed.platform.setReachability(simulation.cuts + simulation.outages > 0 ? way : 'well');
}

function startOutage(simulation: Simulation, what: 'cuts' | 'outages', {path: way, forMs}: {path: Path; forMs: Milliseconds}): Milliseconds {
	const endsAt = simulation.followed.time.clock.now() + forMs;
	simulation[what]++;
	setPath(simulation, way);
	simulation.faultsEndAt = Math.max(simulation.faultsEndAt, endsAt);
	simulation.scheduled.push({
		at: endsAt, act() {
			simulation[what]--;
			setPath(simulation, way);
		},
	});
	return endsAt;
}

/** A server can't write of its leaving while the platform is away. */
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

/** A server whose entry lapsed is back some time after the platform, or after the next outage if one came in between. */
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

/** The way in which the server that leaves has said so last. */
function writeLeavingServer({followed: {platform}, departures, wasAnnounced}: Simulation): void {
	if (!departures.has('leaves')) {
		platform.put('leaves');
	} else if (wasAnnounced) {
		platform.put('leaves', true);
	} else {
		platform.remove('leaves');
	}
}

/** Nothing can be written while the platform is away. */
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
	// The loss comes before the way opens again.
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

/** What is violation now, if anything. */
export function findLateUse({followed, faultsEndAt, departures, wasReset, actWithinMs}: Simulation): string | undefined {
	const now = followed.time.clock.now();
	const leftAt = departures.get('leaves');
	// Where a platform lost what was written, nothing but its next writing tells of it, and that has its own time.
	const serveMs = wasReset ? Math.max(leaveNoticeMs, actWithinMs) : leaveNoticeMs;
	const mustNotUse = leftAt !== undefined && now >= Math.max(faultsEndAt + actDeadlineMs, leftAt + serveMs);
	return mustNotUse && followed.used().includes('leaves') ? `used ${now - leftAt} ms after it left, ${now - faultsEndAt} ms after the last fault` : undefined;
}

/** What went back to what was before, if anything. */
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

/** Lets time pass in small steps, does what is due, and looks after each. */
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
	/** What all chance of the host gives. */
	randomValue: number;
	actWithinMs: Milliseconds;
};

/**
 * Plays the steps, with quiet time before and after.
 *
 * @param steps - Troubles, each with the time that passes after it began.
 * @param host - What all chance of the host gives, and how soon it must act.
 * @param findViolation - Looks after each small step; the first thing that is violation counts.
 * @returns What was violation first; `undefined` if nothing was.
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

export const findDropped = ({followed}: Simulation): string | undefined =>
	followed.used().includes('stays') || followed.follower.toView() === undefined ? undefined : `dropped at ${followed.time.clock.now()}`;
