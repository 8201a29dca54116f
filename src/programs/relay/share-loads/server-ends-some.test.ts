import {describe, it} from 'node:test';
import {msPerSecond} from '../../../ports/units.js';
import {busyPerStep, checkEndCourse} from './_test/check-end-course.js';
import {promptWays, type EndCourse} from './_test/play-end-course.js';

// Guards against a request that goes on ending servers because some survive it in between.
describe('hosts whose servers end under some runs of a request', () => {
	const fatal: ReadonlyArray<[string, NonNullable<EndCourse['isFatal']>]> = [
		['each second run', (_, run) => run % 2 === 0],
		['at random', (_, run) => Math.floor(run * (1 + Math.sqrt(5)) / 2) % 2 === 0],
		['runs at servers of one of two versions', server => Number(server.slice(2)) % 2 === 0],
	];
	for (const hosts of [7, 74, 400]) {
		const isLarge = hosts > 100;
		for (const [name, isFatal] of isLarge ? fatal.slice(0, 1) : fatal) {
			it(`do not send it on, and refuse no harmless one: ${name}, ${hosts} hosts`, async t => {
				await checkEndCourse(text => {
					t.diagnostic(text);
				}, {
					hosts, way: promptWays[0], isFatal, perStep: busyPerStep, forMs: (isLarge ? 15 : 30) * msPerSecond,
				});
			});
		}

		it(`refuse few lookups that recur all the time while servers end for other reasons: ${hosts} hosts`, async t => {
			await checkEndCourse(text => {
				t.diagnostic(text);
			}, {
				hosts, perStep: busyPerStep, recurMs: 200, otherEndsMs: msPerSecond / 2, forMs: 15 * msPerSecond,
			});
		});
	}
});
