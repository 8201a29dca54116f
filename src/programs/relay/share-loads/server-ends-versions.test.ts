import {describe, it} from 'node:test';
import {msPerSecond} from '../../../ports/units.js';
import {busyPerStep, checkEndCourse} from './_test/check-end-course.js';
import {promptWays, toOneOfTwoVersions} from './_test/play-end-course.js';

// Guards against a request that goes on ending servers of one software version because servers of another survive it.
describe('hosts whose servers of one of two published versions end under a request', () => {
	for (const hosts of [7, 74, 400]) {
		it(`do not send it on, and refuse no harmless one: ${hosts} hosts`, async t => {
			await checkEndCourse(text => {
				t.diagnostic(text);
			}, {
				hosts, way: promptWays[0], gapMs: 400, isFatal: server => toOneOfTwoVersions(server) === 'v2', record: {toVersion: toOneOfTwoVersions}, perStep: busyPerStep, forMs: 15 * msPerSecond,
			});
		});

		it(`refuse few lookups that recur all the time while servers end for other reasons: ${hosts} hosts`, async t => {
			await checkEndCourse(text => {
				t.diagnostic(text);
			}, {
				hosts, perStep: busyPerStep, recurMs: 200, otherEndsMs: msPerSecond / 2, record: {toVersion: toOneOfTwoVersions}, forMs: 15 * msPerSecond,
			});
		});
	}

	// Guards against requests that are refused because the servers of a bad release end under everything.
	for (const hosts of [7, 74]) {
		it(`refuse few lookups that recur all the time while servers of one version end for other reasons: ${hosts} hosts`, async t => {
			await checkEndCourse(text => {
				t.diagnostic(text);
			}, {
				hosts, perStep: busyPerStep, recurMs: 200, leaveShare: 0.25, otherEndsMs: 2 * msPerSecond, isEnding: server => toOneOfTwoVersions(server) === 'v2', record: {toVersion: toOneOfTwoVersions},
			});
		});
	}
});
