/** Courses of requests with parts of prompts, some of which end servers, in virtual time. */
import {createRandom} from '../../../../domain/_test/create-random.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type PartKey} from '../../../../ports/ids.js';
import {msPerSecond} from '../../../../ports/units.js';
import {
	createPartTraffic, type Fleet, type PartTrafficOptions, type Sent,
} from './create-part-traffic.js';
import {startHosts, stepMs} from './start-hosts.js';

/** Number of hosts of which all courses are played; larger fleets play fewer, as they take longer. */
export const smallFleet = 7;

/** Servers that end under a part before hosts must know it, and the time within which they must. */
export const ends = 5;
export const spreadMs: Milliseconds = 3 * msPerSecond;

export const fatal = 'fatal';
export const first = 'first';

/** Parts that sound and fatal requests share. */
export const toUsual = (n: number): PartKey => `usual-${n % 5}`;

export type PartCourse = {
	name: string;
	/** Parts of the nth fatal request. */
	toFatal: (n: number) => readonly PartKey[];
	/** Time between two fatal requests, and their number at a time. */
	gapMs?: Milliseconds;
	burst?: number;
	/** Sound requests a second with the same first part. */
	soundPerSecond?: number;
	/** Seconds in which each server ends with this probability for another reason. */
	crashShare?: number;
	/** Whether the parts are fatal at this time, milliseconds from the first request. */
	isFatalAt?: (ms: Milliseconds) => boolean;
	isFatal?: (parts: readonly PartKey[]) => boolean;
	/** Called each second. */
	disturb?: (fleet: Fleet, second: number) => Promise<void>;
	isForLarge?: boolean;
};

export const partCourses: readonly PartCourse[] = [
	{name: 'in the middle', toFatal: n => [first, fatal, toUsual(n)], isForLarge: true},
	{name: 'first of its prompts', toFatal: n => [fatal, toUsual(n)]},
	{name: 'next to last', toFatal: n => [first, toUsual(n), fatal]},
	{name: 'with a constant companion', toFatal: () => [first, 'companion', fatal]},
	{name: 'with a constant companion that few sound requests share', toFatal: () => [first, 'other-7', fatal]},
	{name: 'a request every 3 s', toFatal: n => [first, fatal, toUsual(n)], gapMs: 3 * msPerSecond},
	{name: 'ten requests a second', toFatal: n => [first, fatal, toUsual(n)], gapMs: 100},
	{
		name: 'three at a time', toFatal: n => [first, fatal, toUsual(n)], gapMs: 2 * msPerSecond, burst: 3,
	},
	{name: 'few sound requests beside it', toFatal: n => [first, fatal, toUsual(n)], soundPerSecond: 1},
	{
		name: 'two parts at once', toFatal: n => [first, n % 2 === 0 ? fatal : 'fatal-too', toUsual(n)], isFatal: parts => parts.includes(fatal) || parts.includes('fatal-too'),
	},
	{
		name: 'beside servers that end for other reasons', toFatal: n => [first, fatal, toUsual(n)], crashShare: 0.05, isForLarge: true,
	},
	{
		name: 'hosts are replaced in turn',
		toFatal: n => [first, fatal, toUsual(n)],
		async disturb(fleet, second) {
			await fleet.restart(fleet.hosts[second % fleet.hosts.length]!);
		},
	},
	{
		name: 'most hosts are killed at once',
		toFatal: n => [first, fatal, toUsual(n)],
		async disturb(fleet, second) {
			for (const host of second === 6 ? fleet.hosts.slice(0, Math.floor(fleet.hosts.length * 0.6)) : []) {
				fleet.kill(host);
				await fleet.restart(host);
			}
		},
	},
	{name: 'a part that was sound before', toFatal: n => [first, fatal, toUsual(n)], isFatalAt: ms => ms > 8 * msPerSecond},
];

const smallPlayMs: Milliseconds = 40 * msPerSecond;
const largePlayMs: Milliseconds = 20 * msPerSecond;

export const toPlayMs = (count: number): Milliseconds => count === smallFleet ? smallPlayMs : largePlayMs;

/** Plays a course; `isAdmitted` replaces the decision of the hosts. */
export async function playCourse(count: number, {toFatal, gapMs = msPerSecond, burst = 1, soundPerSecond = 6, crashShare = 0, isFatalAt = () => true, isFatal = parts => parts.includes(fatal), disturb}: PartCourse, isAdmitted?: PartTrafficOptions['isAdmitted']) {
	const random = createRandom(count + gapMs);
	const fleet = await startHosts(count, {lossShare: 0.05, random});
	fleet.pass(10 * msPerSecond);
	const startedAt = fleet.now();
	const traffic = createPartTraffic({
		fleet, random, servers: 12, ...(isAdmitted && {isAdmitted}), isFatal: parts => isFatalAt(fleet.now() - startedAt) && isFatal(parts),
	});
	let sentFatal = 0;
	let sentSound = 0;
	for (let ms = 0; ms < toPlayMs(count); ms += stepMs) {
		if (ms % gapMs === 0 && ms > 3 * msPerSecond) {
			for (let n = 0; n < burst; n++) {
				traffic.send(toFatal(sentFatal++));
			}
		}

		while (sentSound < soundPerSecond * ms / msPerSecond) {
			traffic.send([first, toUsual(sentSound++), `other-${sentSound % 50}`]);
		}

		if (ms % msPerSecond === 0) {
			traffic.endServers(crashShare);
			await disturb?.(fleet, ms / msPerSecond);
		}

		traffic.pass(stepMs);
	}

	return traffic;
}

/** Requests with a fatal part that reached servers later than hosts must know the part. */
export function toLate(sent: readonly Sent[], part: PartKey): Sent[] {
	const reached = sent.filter(({parts, isFatal, isReached}) => isFatal && isReached && parts.includes(part));
	const known = reached.at(ends - 1);
	return known === undefined ? [] : reached.filter(({at}) => at > known.at + spreadMs);
}

/** Share of sound requests that were sent on, from the time at which hosts must know the part. */
export function toSoundShare(sent: readonly Sent[], from: Milliseconds): number {
	const sound = sent.filter(({at, isFatal, parts}) => !isFatal && parts[0] === first && at >= from);
	return sound.length === 0 ? 1 : sound.filter(({isRefused}) => !isRefused).length / sound.length;
}
