/*
 * Guards against a part of prompts that goes on ending servers through one host after
 * the other, and against requests that are refused although none of their parts does.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../../../domain/_test/create-random.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type PartKey} from '../../../ports/ids.js';
import {bytesPerKibibyte, msPerSecond} from '../../../ports/units.js';
import {createPartTraffic, type Fleet, type Sent} from './_test/create-part-traffic.js';
import {startHosts, stepMs} from './_test/start-hosts.js';

/** Numbers of hosts; larger fleets play fewer courses, as they take longer. */
const smallFleet = 7;
const largeFleets = [74, 400];

/** Servers that end under a part before hosts must know it, and the time within which they must. */
const ends = 5;
const spreadMs: Milliseconds = 3 * msPerSecond;

/** Requests with the part that may reach servers later than that. */
const maxLate = 3;

/** Share of sound requests with the same first part that must begin once hosts know the part. */
const minSoundShare = 0.5;

/** Bound on the control traffic of a host, in bytes a second. */
const maxControlBytes = 8 * bytesPerKibibyte;

const fatal = 'fatal';
const first = 'first';

/** Parts that sound and fatal requests share. */
const toUsual = (n: number): PartKey => `usual-${n % 5}`;

type Course = {
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

const courses: readonly Course[] = [
	{name: 'in the middle', toFatal: n => [first, fatal, toUsual(n)], isForLarge: true},
	{name: 'first of its prompts', toFatal: n => [fatal, toUsual(n)]},
	{name: 'next to last', toFatal: n => [first, toUsual(n), fatal]},
	{name: 'with a constant companion', toFatal: () => [first, 'companion', fatal]},
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

const toPlayMs = (count: number): Milliseconds => count === smallFleet ? smallPlayMs : largePlayMs;

async function play(count: number, {toFatal, gapMs = msPerSecond, burst = 1, soundPerSecond = 6, crashShare = 0, isFatalAt = () => true, isFatal = parts => parts.includes(fatal), disturb}: Course) {
	const random = createRandom(count + gapMs);
	const fleet = await startHosts(count, {lossShare: 0.05, random});
	fleet.pass(10 * msPerSecond);
	const startedAt = fleet.now();
	const traffic = createPartTraffic({
		fleet, random, servers: 12, isFatal: parts => isFatalAt(fleet.now() - startedAt) && isFatal(parts),
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

	return {traffic, fleet};
}

/** Requests with a fatal part that reached servers later than hosts must know the part. */
function toLate(sent: readonly Sent[], part: PartKey): Sent[] {
	const reached = sent.filter(({parts, isFatal, isReached}) => isFatal && isReached && parts.includes(part));
	const known = reached.at(ends - 1);
	return known === undefined ? [] : reached.filter(({at}) => at > known.at + spreadMs);
}

/** Share of sound requests that were sent on, from the time at which hosts must know the part. */
function toSoundShare(sent: readonly Sent[], from: Milliseconds): number {
	const sound = sent.filter(({at, isFatal, parts}) => !isFatal && parts[0] === first && at >= from);
	return sound.length === 0 ? 1 : sound.filter(({isRefused}) => !isRefused).length / sound.length;
}

describe('hosts whose servers end under a part of prompts', () => {
	for (const count of [smallFleet, ...largeFleets]) {
		for (const course of courses.filter(({isForLarge = false}) => count === smallFleet || isForLarge)) {
			it(`let few more requests with it reach servers, and refuse no others: ${course.name}, ${count} hosts`, async t => {
				const {traffic: {sent, ends: ended}} = await play(count, course);
				const late = [fatal, 'fatal-too'].map(part => toLate(sent, part).length);
				const refused = sent.filter(({isFatal, isRefused, parts}) => !isFatal && isRefused && !parts.includes(fatal)).length;
				t.diagnostic(`${ended.length} servers ended; late ${late.join(' and ')}; refused ${refused} of ${sent.filter(({isFatal}) => !isFatal).length} sound requests`);
				assert.ok(ended.length >= 3);
				for (const part of late) {
					assert.ok(part <= maxLate, `${part} late`);
				}

				assert.ok(toSoundShare(sent, ended[Math.min(ends, ended.length) - 1]! + (2 * spreadMs)) >= minSoundShare);
				assert.equal(refused, 0);
			});
		}
	}
});

describe('hosts whose servers end for other reasons', () => {
	for (const count of [smallFleet, largeFleets[0]!]) {
		for (const [what, crash] of [['all at once', (second: number) => second === 10 ? 1 : 0], ['a third every 8 s', (second: number) => second % 8 === 0 ? 0.34 : 0], ['one in ten each second', () => 0.1]] as const) {
			it(`refuse no request: ${what}, ${count} hosts`, async t => {
				const random = createRandom(count);
				const fleet = await startHosts(count, {lossShare: 0.05, random});
				fleet.pass(10 * msPerSecond);
				const traffic = createPartTraffic({
					fleet, random, servers: 12, isFatal: () => false,
				});
				for (let step = 0; step < toPlayMs(count) / stepMs; step++) {
					if (step % 3 === 0) {
						traffic.send([first, toUsual(step), `other-${step % 50}`]);
					}

					if (step % 20 === 0) {
						traffic.endServers(crash(step / 20));
					}

					traffic.pass(stepMs);
				}

				const refused = traffic.sent.filter(({isRefused}) => isRefused).length;
				t.diagnostic(`${traffic.ends.length} servers ended; refused ${refused} of ${traffic.sent.length}`);
				assert.equal(refused, 0);
			});
		}
	}
});

describe('hosts that report crashes by parts of prompts', () => {
	for (const count of [smallFleet, ...largeFleets]) {
		it(`stay within the bound on control traffic while servers end under a hundred requests of five parts: ${count} hosts`, async t => {
			const random = createRandom(count);
			const fleet = await startHosts(count, {lossShare: 0.05, random});
			fleet.pass(10 * msPerSecond);
			const seconds = 10;
			let bytes = 0;
			for (let second = 0; second < seconds; second++) {
				for (let run = 0; run < (second % 2 === 0 ? 100 : 0); run++) {
					const {partQuarantine} = fleet.hosts[Math.floor(random() * count)]!;
					for (const part of [first, ...Array.from({length: 4}, () => `other-${Math.floor(random() * 400)}`)]) {
						partQuarantine.suspects.noteBroken(part, `i-93770e37e${second}`, fleet.now());
					}
				}

				bytes += fleet.measure(msPerSecond).bytes / seconds;
			}

			t.diagnostic(`${(bytes / bytesPerKibibyte).toFixed(2)} KB a second and host`);
			assert.ok(bytes <= maxControlBytes, `${bytes} bytes a second`);
		});
	}
});
