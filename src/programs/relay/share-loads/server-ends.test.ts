/*
 * Guards against a request that goes on ending servers, and against harmless requests
 * that are refused because they ran beside it or near faults that end no server.
 */
import {describe, it} from 'node:test';
import {msPerSecond} from '../../../ports/units.js';
import {busyPerStep, checkEndCourse} from './_test/check-end-course.js';
import {drainedWay, lateWays, promptWays} from './_test/play-end-course.js';

describe('hosts whose servers end under a request', () => {
	for (const hosts of [7, 74]) {
		for (const way of promptWays) {
			it(`do not send it on, and refuse no harmless one: ${way.name}, ${hosts} hosts`, async t => {
				await checkEndCourse(text => {
					t.diagnostic(text);
				}, {hosts, way});
			});
		}

		it(`refuse no request when servers that go on break runs off: ${hosts} hosts`, async t => {
			await checkEndCourse(text => {
				t.diagnostic(text);
			}, {hosts, hasFaults: true});
		});
	}
});

// Guards against answers to other calls that are taken as proof that a server survived a run which it is still at work on.
describe('hosts whose busy servers end under a request', () => {
	for (const hosts of [7, 74, 400]) {
		const isLarge = hosts > 100;
		const forMs = (isLarge ? 15 : 30) * msPerSecond;
		for (const way of isLarge ? lateWays.slice(0, 1) : [...promptWays, ...lateWays]) {
			it(`do not send it on, and refuse no harmless one: ${way.name}, ${hosts} hosts`, async t => {
				await checkEndCourse(text => {
					t.diagnostic(text);
				}, {
					hosts, way, perStep: busyPerStep, forMs,
				});
			});
		}

		it(`refuse few harmless ones when servers end for other reasons and callers leave: ${hosts} hosts`, async t => {
			await checkEndCourse(text => {
				t.diagnostic(text);
			}, {
				hosts, perStep: busyPerStep, leaveShare: 0.25, otherEndsMs: 2 * msPerSecond, hasFaults: true, forMs,
			});
		});
	}
});

// Guards against a request that goes on ending servers which have announced that they leave, and against harmless requests that are refused because their servers left as planned.
describe('hosts whose servers are drained', () => {
	for (const hosts of [7, 74, 400]) {
		const forMs = (hosts > 100 ? 15 : 30) * msPerSecond;
		it(`do not send on a request under which they end, and refuse no harmless one: ${hosts} hosts`, async t => {
			await checkEndCourse(text => {
				t.diagnostic(text);
			}, {
				hosts, way: drainedWay, perStep: busyPerStep, forMs,
			});
		});

		it(`refuse few harmless ones when servers leave as planned and callers leave: ${hosts} hosts`, async t => {
			await checkEndCourse(text => {
				t.diagnostic(text);
			}, {
				hosts, perStep: busyPerStep, leaveShare: 0.25, otherEndsMs: 2 * msPerSecond, isPlanned: true, hasFaults: true, forMs,
			});
		});
	}
});
