/*
 * Guards against a part of prompts that goes on ending servers through one host after
 * the other, and against requests that are refused although none of their parts does.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../../../domain/_test/create-random.js';
import {bytesPerKibibyte, msPerSecond} from '../../../ports/units.js';
import {createPartTraffic} from './_test/create-part-traffic.js';
import {
	ends, fatal, first, partCourses, playCourse, smallFleet, spreadMs, toLate, toPlayMs, toSoundShare, toUsual,
} from './_test/part-courses.js';
import {startHosts, stepMs} from './_test/start-hosts.js';

const largeFleets = [74, 400];

/** Requests with a fatal part that may reach servers later than hosts must know it. */
const maxLate = 3;

/** Share of sound requests with the same first part that must begin once hosts know the part. */
const minSoundShare = 0.5;

/** Bound on the control traffic of a host, in bytes a second. */
const maxControlBytes = 8 * bytesPerKibibyte;

describe('hosts whose servers end under a part of prompts', () => {
	for (const count of [smallFleet, ...largeFleets]) {
		for (const course of partCourses.filter(({isForLarge = false}) => count === smallFleet || isForLarge)) {
			it(`let few more requests with it reach servers, and refuse no others: ${course.name}, ${count} hosts`, async t => {
				const {sent, ends: ended} = await playCourse(count, course);
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
