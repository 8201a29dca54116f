/** Plays troubles of a host and of the platform in virtual time, and looks after each step. */
import {type Milliseconds} from '../../../../ports/clock.js';
import {type PlatformCopy} from './create-scripted-platform.js';
import {startFollowed, type Followed} from './start-followed.js';

/** Without trouble for so long, a host must act on what is published; less what a request may be on its way. */
const mustActMs: Milliseconds = 3000 - 100;

/** A server that leaves serves on for so long. */
const leaveMs: Milliseconds = 2000;

/** Entries lapse after three heartbeats of 1.2 s; in the shortest outage that lets one lapse, its server has just missed its next. */
const leastLapseMs: Milliseconds = 2400;

const stepMs: Milliseconds = 50;
const quietMs: Milliseconds = 6000;

export type Path = 'refusing' | 'silent';

export type Trouble =
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

export type Step = {afterMs: Milliseconds; trouble: Trouble};

export type World = {
	followed: Followed;
	/** When the last trouble that excuses the host ended. */
	troubleEnd: Milliseconds;
	/** When servers that left had said so, by name. */
	left: Map<string, Milliseconds>;
	/** Whether it announced that before it went. */
	wasAnnounced: boolean;
	/** What happens at its time. */
	agenda: Array<{at: Milliseconds; act: () => void}>;
	cuts: number;
	outages: number;
	/** What the platform had, in the order of time; nothing at first. */
	copies: Array<{at: Milliseconds; copy: PlatformCopy}>;
	/** The host knew that the server which leaves does so. */
	hasSeenLeave: boolean;
	/** Newest edition in force on the host. */
	edition: number;
	wasReset: boolean;
	actWithinMs: Milliseconds;
};

function startWorld(followed: Followed, actWithinMs: Milliseconds): World {
	return {
		followed, troubleEnd: 0, left: new Map(), wasAnnounced: false, agenda: [], cuts: 0, outages: 0, copies: [{at: -Infinity, copy: {items: new Map(), history: [], revision: 0}}], hasSeenLeave: false, edition: 0, wasReset: false, actWithinMs,
	};
}

/** The way to the platform is closed while any trouble closes it; the last one says how. */
function setPath(world: World, way: Path): void {
	world.followed.platform.setPath(world.cuts + world.outages > 0 ? way : 'well');
}

function close(world: World, what: 'cuts' | 'outages', {path: way, forMs}: {path: Path; forMs: Milliseconds}): Milliseconds {
	const endsAt = world.followed.time.clock.now() + forMs;
	world[what]++;
	setPath(world, way);
	world.troubleEnd = Math.max(world.troubleEnd, endsAt);
	world.agenda.push({
		at: endsAt, act() {
			world[what]--;
			setPath(world, way);
		},
	});
	return endsAt;
}

/** A server can't write of its leaving while the platform is away. */
function leave(world: World, isAnnounced: boolean): void {
	const {platform, time} = world.followed;
	if (world.outages > 0 || world.left.size > 0) {
		return;
	}

	world.left.set('leaves', time.clock.now());
	world.wasAnnounced = isAnnounced;
	if (isAnnounced) {
		platform.put('leaves', true);
	} else {
		platform.remove('leaves');
	}
}

/** A server whose entry lapsed is back some time after the platform, or after the next outage if one came in between. */
function publishAnew(world: World, endsAt: Milliseconds, backMs: Milliseconds): void {
	const {time, platform} = world.followed;
	world.agenda.push({
		at: endsAt + backMs, act() {
			if (world.outages > 0) {
				publishAnew(world, time.clock.now() + stepMs, backMs);
			} else {
				platform.put('stays');
			}
		},
	});
}

/** The way in which the server that leaves has said so last. */
function writeLeaver({followed: {platform}, left, wasAnnounced}: World): void {
	if (!left.has('leaves')) {
		platform.put('leaves');
	} else if (wasAnnounced) {
		platform.put('leaves', true);
	} else {
		platform.remove('leaves');
	}
}

/** Nothing can be written while the platform is away. */
function writeOnce(world: World, at: Milliseconds, write: () => void): void {
	world.agenda.push({
		at, act() {
			if (world.outages > 0) {
				writeOnce(world, world.followed.time.clock.now() + stepMs, write);
			} else {
				write();
			}
		},
	});
}

function resetPlatform(world: World, trouble: Reset): void {
	const {platform, time} = world.followed;
	const from = time.clock.now() - trouble.copyAgeMs;
	const {copy} = world.copies.findLast(({at}) => at <= from)!;
	world.wasReset = true;
	// The loss comes before the way opens again.
	platform.setPath(trouble.path);
	platform.comeBackFrom(copy);
	const endsAt = close(world, 'outages', trouble);
	world.copies = world.copies.filter(({at}) => at <= from);
	const [rules, stays, leaves] = trouble.rewriteMs;
	writeOnce(world, endsAt + rules, platform.rewriteRules);
	writeOnce(world, endsAt + stays, () => {
		platform.put('stays');
	});
	writeOnce(world, endsAt + leaves, () => {
		writeLeaver(world);
	});
	if (trouble.isLate) {
		platform.answerLate();
	}
}

function begin(world: World, trouble: Trouble): void {
	const {platform, time} = world.followed;
	switch (trouble.kind) {
		case 'cut': {
			close(world, 'cuts', trouble);
			break;
		}

		case 'outage': {
			const endsAt = close(world, 'outages', trouble);
			if (trouble.lapses && trouble.forMs >= leastLapseMs) {
				platform.remove('stays');
				publishAnew(world, endsAt, trouble.backMs);
			}

			break;
		}

		case 'reset': {
			resetPlatform(world, trouble);
			break;
		}

		case 'silence': {
			platform.silenceConnection();
			world.troubleEnd = Math.max(world.troubleEnd, time.clock.now());
			break;
		}

		case 'pause': {
			time.freeze(trouble.forMs);
			world.troubleEnd = Math.max(world.troubleEnd, time.clock.now());
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
			leave(world, trouble.kind === 'announce');
			break;
		}
	}
}

/** What is wrong now, if anything. */
export function findWrong({followed, troubleEnd, left, wasReset, actWithinMs}: World): string | undefined {
	const now = followed.time.clock.now();
	const leftAt = left.get('leaves');
	// Where a platform lost what was written, nothing but its next writing tells of it, and that has its own time.
	const serveMs = wasReset ? Math.max(leaveMs, actWithinMs) : leaveMs;
	const mustNotUse = leftAt !== undefined && now >= Math.max(troubleEnd + mustActMs, leftAt + serveMs);
	return mustNotUse && followed.used().includes('leaves') ? `used ${now - leftAt} ms after it left, ${now - troubleEnd} ms after the last trouble` : undefined;
}

/** What went back to what was before, if anything. */
export function findBack(world: World): string | undefined {
	const {followed, left} = world;
	const {follower, time} = followed;
	const edition = follower.toView()?.accepted?.version.edition ?? 0;
	const isUsed = followed.used().includes('leaves');
	const now = time.clock.now();
	if (edition < world.edition) {
		return `edition ${edition} after ${world.edition} at ${now}`;
	}

	if (world.hasSeenLeave && isUsed) {
		return `a server that had left is used again at ${now}`;
	}

	world.edition = edition;
	world.hasSeenLeave ||= left.has('leaves') && !isUsed;
	return undefined;
}

/** Lets time pass in small steps, does what is due, and looks after each. */
async function pass(world: World, ms: Milliseconds, look: () => void): Promise<void> {
	const {time} = world.followed;
	const until = time.clock.now() + ms;
	while (time.clock.now() < until) {
		const due = world.agenda.filter(({at}) => at <= time.clock.now());
		world.agenda = world.agenda.filter(entry => !due.includes(entry));
		for (const {act} of due) {
			act();
		}

		await time.runUntil(Math.min(until, time.clock.now() + stepMs));
		if (world.outages === 0) {
			world.copies.push({at: time.clock.now(), copy: world.followed.platform.copy()});
		}

		look();
	}
}

export type Host = {
	/** What all chance of the host gives. */
	chance: number;
	actWithinMs: Milliseconds;
};

/**
 * Plays the steps, with quiet time before and after.
 *
 * @param steps - Troubles, each with the time that passes after it began.
 * @param host - What all chance of the host gives, and how soon it must act.
 * @param toWrong - Looks after each small step; the first thing that is wrong counts.
 * @returns What was wrong first; `undefined` if nothing was.
 */
export async function play(steps: readonly Step[], {chance, actWithinMs}: Host, toWrong: (world: World) => string | undefined): Promise<string | undefined> {
	const followed = startFollowed(() => chance, actWithinMs);
	const world = startWorld(followed, actWithinMs);
	let wrong: string | undefined;
	const look = () => {
		wrong ??= toWrong(world);
	};

	await pass(world, quietMs, look);
	for (const step of steps) {
		begin(world, step.trouble);
		await pass(world, step.afterMs, look);
	}

	while (world.agenda.length > 0) {
		await pass(world, stepMs, look);
	}

	await pass(world, quietMs, look);
	await followed.stop();
	return wrong;
}

export const findDropped = ({followed}: World): string | undefined =>
	followed.used().includes('stays') || followed.follower.toView() === undefined ? undefined : `dropped at ${followed.time.clock.now()}`;
