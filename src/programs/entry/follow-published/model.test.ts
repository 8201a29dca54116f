/*
 * What callers see: requests that break at a server which left, or a pool that is
 * refused although its server serves. Troubles of one host and of the platform come
 * in any order and overlap: cuts, outages in which entries lapse, silent
 * connections, pauses of the process, histories that are forgotten. Whatever their
 * order, a host that had no trouble for 3 s must not use what left 2 s ago, and an
 * outage by itself must cost no living server.
 */
import {describe, it} from 'node:test';
import assert from 'node:assert/strict';
import fc from 'fast-check';
import {type Milliseconds} from '../../../ports/clock.js';
import {startFollowed, type Followed} from './_test/start-followed.js';

/** Without trouble for so long, a host must act on what is published; less what a request may be on its way. */
const mustActMs: Milliseconds = 3000 - 100;

/** A server that leaves serves on for so long. */
const leaveMs: Milliseconds = 2000;

/** Entries lapse after three heartbeats of 1.2 s; in the shortest outage that lets one lapse, its server has just missed its next. */
const leastLapseMs: Milliseconds = 2400;

const stepMs: Milliseconds = 50;
const quietMs: Milliseconds = 6000;

type Path = 'refusing' | 'silent';

type Trouble =
	| {kind: 'cut'; path: Path; forMs: Milliseconds}
	| {kind: 'outage'; path: Path; forMs: Milliseconds; backMs: Milliseconds; lapses: boolean}
	| {kind: 'silence' | 'forget' | 'rules' | 'leave' | 'announce'}
	| {kind: 'pause'; forMs: Milliseconds};

type Step = {afterMs: Milliseconds; trouble: Trouble};

const path = fc.constantFrom<Path>('refusing', 'silent');
const span = fc.integer({min: 100, max: 8000});
const cut = fc.record({kind: fc.constant('cut' as const), path, forMs: span});
const outage = fc.record({
	kind: fc.constant('outage' as const), path, forMs: span, backMs: fc.integer({min: 0, max: 2000}), lapses: fc.boolean(),
});
const moment = fc.record({kind: fc.constantFrom('silence' as const, 'forget' as const, 'rules' as const, 'leave' as const, 'announce' as const)});
const pause = fc.record({kind: fc.constant('pause' as const), forMs: fc.integer({min: 100, max: 6000})});
const afterMs = fc.integer({min: 0, max: 4000});

type World = {
	followed: Followed;
	/** When the last trouble that excuses the host ended. */
	troubleEnd: Milliseconds;
	/** When servers that left had said so, by name. */
	left: Map<string, Milliseconds>;
	/** What happens at its time. */
	agenda: Array<{at: Milliseconds; act: () => void}>;
	cuts: number;
	outages: number;
};

function startWorld(followed: Followed): World {
	return {
		followed, troubleEnd: 0, left: new Map(), agenda: [], cuts: 0, outages: 0,
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
function findWrong({followed, troubleEnd, left}: World): string | undefined {
	const now = followed.time.clock.now();
	const leftAt = left.get('leaves');
	const mustNotUse = leftAt !== undefined && now >= Math.max(troubleEnd + mustActMs, leftAt + leaveMs);
	return mustNotUse && followed.used().includes('leaves') ? `used ${now - leftAt} ms after it left, ${now - troubleEnd} ms after the last trouble` : undefined;
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
		look();
	}
}

type Host = {
	/** What all chance of the host gives. */
	chance: number;
	actWithinMs: Milliseconds;
};

async function play(steps: readonly Step[], {chance, actWithinMs}: Host, toWrong: (world: World) => string | undefined): Promise<string | undefined> {
	const followed = startFollowed(() => chance, actWithinMs);
	const world = startWorld(followed);
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

/** Hosts that read as often as they may, and as seldom. */
const host = fc.record({chance: fc.constantFrom(0.01, 0.5, 0.99), actWithinMs: fc.constantFrom(2000, 3000, 4000)});

describe('followPublished under overlapping troubles', () => {
	it('uses nothing that left, once it had no trouble for three seconds (property)', async () => {
		const trouble = fc.oneof(cut, outage, moment, pause);
		await fc.assert(fc.asyncProperty(fc.array(fc.record({afterMs, trouble}), {minLength: 2, maxLength: 8}), host, async (steps, drawn) => {
			assert.equal(await play(steps, drawn, findWrong), undefined);
		}));
	});

	it('drops no living server in outages of any kind, back to back (property)', async () => {
		const trouble = fc.oneof(outage, fc.constant<Trouble>({kind: 'rules'}), fc.constant<Trouble>({kind: 'forget'}));
		const findDropped = ({followed}: World) => followed.used().includes('stays') || followed.follower.toView() === undefined ? undefined : `dropped at ${followed.time.clock.now()}`;
		await fc.assert(fc.asyncProperty(fc.array(fc.record({afterMs, trouble}), {minLength: 1, maxLength: 4}), host, async (steps, drawn) => {
			assert.equal(await play(steps, drawn, findDropped), undefined);
		}));
	});
});
