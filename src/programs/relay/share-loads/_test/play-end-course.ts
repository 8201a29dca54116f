/** Plays a request that ends servers beside harmless ones, and counts what reaches servers too late. */
import {createRandom} from '../../../../domain/_test/create-random.js';
import {type CrashSuspectsOptions} from '../../../../domain/create-crash-suspects/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type ServerId, type SoftwareVersion} from '../../../../ports/ids.js';
import {msPerSecond} from '../../../../ports/units.js';
import {createEndTraffic, lapseMs, type EndWay} from './create-end-traffic.js';
import {startHosts, stepMs} from './start-hosts.js';

/** Ways in which servers end at once. */
export const promptWays: readonly EndWay[] = [
	{name: 'closes', seen: {kind: 'closed'}},
	{name: 'falls silent', isDark: true},
	{name: 'ends once the caller has left', leaveMs: 50},
	{
		name: 'closes an answer without a length', seen: {
			kind: 'answered', status: 200, framing: 'connection', isRun: true,
		},
	},
];

/** Ways in which servers answer others before they end. */
export const lateWays: readonly EndWay[] = [
	{name: 'ends 0.5 s after the caller has left', leaveMs: 250, endMs: 750},
	{name: 'ends 0.9 s after the caller has left', leaveMs: 250, endMs: 1150},
];

/** A way in which servers end that have announced that they leave. */
export const drainedWay: EndWay = {
	name: 'ends once the caller has left, while it is drained', leaveMs: 200, endMs: 250, isDrained: true,
};

export type EndCourse = {
	hosts: number;
	way?: EndWay;
	/** Time between two calls of the culprit. */
	gapMs?: Milliseconds;
	/** Harmless requests a step; as many as keep each server at work on some. */
	perStep?: number;
	servers?: number;
	/** Whether servers that go on break runs off. */
	hasFaults?: boolean;
	/** Time between two ends of servers for other reasons. */
	otherEndsMs?: Milliseconds;
	/** Picks the servers that end for other reasons; all by default. */
	isEnding?: (server: ServerId) => boolean;
	/** Whether servers that end for other reasons leave as planned. */
	isPlanned?: boolean;
	/** Share of the callers of harmless requests that leave early. */
	leaveShare?: number;
	isFatal?: (server: ServerId, run: number) => boolean;
	forMs?: Milliseconds;
	/** Time after which the harmless requests recur. */
	recurMs?: Milliseconds;
	/** How hosts judge crashes. */
	record?: Pick<CrashSuspectsOptions, 'lingerMs' | 'survivalWeight' | 'toVersion'>;
	seed?: number;
};

/** Spreads the servers over two software versions, which are published. */
export const toOneOfTwoVersions = (server: ServerId): SoftwareVersion => Number(server.slice('s-'.length)) % 2 === 0 ? 'v2' : 'v1';

export type EndTally = {ended: number; lateRuns: number; harmless: number; refused: number};

/** Time after the third end from which no host may send the request on. */
const spreadMs: Milliseconds = 3 * msPerSecond;

const endsAllowed = 3;

const defaultRecurMs: Milliseconds = 2 * msPerSecond;

/** Time after which a caller that leaves early does so. */
const harmlessLeaveMs: Milliseconds = 100;

const faultEverySteps = 16;

const isEach = (step: number, periodMs: Milliseconds): boolean => (step * stepMs) % periodMs === 0;

/** Returns the time after the third end from which no host may send the request on; an end that closes no connection, or of a server that has announced that it leaves, is known once the entry has lapsed. */
const toKnownMs = (way: EndWay): Milliseconds => way.isDark === true || way.isDrained === true ? spreadMs + lapseMs : spreadMs;

/**
 * Plays a course.
 *
 * @param course - See {@link EndCourse}.
 * @returns Servers that the culprit ended, its runs that began later than hosts must know, harmless requests, and how many of these were refused.
 */
export async function playEndCourse({
	hosts, way, gapMs = msPerSecond, perStep = 1, servers = 12, hasFaults = false, otherEndsMs, isEnding, isPlanned = false, leaveShare = 0, isFatal, forMs = 30 * msPerSecond, recurMs = defaultRecurMs, record = {}, seed = hosts + gapMs,
}: EndCourse): Promise<EndTally> {
	const random = createRandom(seed);
	const fleet = await startHosts(hosts, {lossShare: 0.05, random, ...record});
	fleet.pass(10 * msPerSecond);
	const traffic = createEndTraffic({
		fleet, random, servers, ...(isFatal && {isFatal}),
	});
	const until = fleet.now() + forMs;
	for (let step = 0; fleet.now() < until; step++) {
		for (let n = 0; n < perStep; n++) {
			const isLeft = leaveShare > 0 && random() < leaveShare;
			traffic.sendHarmless(`harmless-${step % (recurMs / stepMs)}-${n}`, isLeft ? harmlessLeaveMs : undefined);
		}

		if (way !== undefined && isEach(step, gapMs)) {
			traffic.sendCulprit(way);
		}

		if (hasFaults && step % faultEverySteps === 0) {
			traffic.breakOff(step % (2 * faultEverySteps) === 0 ? {kind: 'closed'} : {kind: 'without-answer'});
		}

		if (otherEndsMs !== undefined && isEach(step, otherEndsMs)) {
			if (isPlanned) {
				traffic.drainAny();
			} else {
				traffic.endAny(isEnding);
			}
		}

		traffic.pass(stepMs);
	}

	const {ended, endedAt, culpritRunsAt, harmless, refused} = traffic.counts;
	const knownAt = way === undefined ? Infinity : (endedAt[endsAllowed - 1] ?? Infinity) + toKnownMs(way);
	return {
		ended, lateRuns: culpritRunsAt.filter(at => at > knownAt).length, harmless, refused,
	};
}
