import assert from 'node:assert/strict';
import {playEndCourse, type EndCourse} from './play-end-course.js';

/** Harmless requests a step that keep each of twelve servers at work on some three at a time. */
export const busyPerStep = 6;

/** Bound on harmless requests that are refused where many servers end under them by chance, as for proper requests that are denied. */
const toMaxRefused = (harmless: number): number => 5 + (harmless / 500);

/** Runs of a request that may come later than hosts must know. */
const maxLateRuns = 3;

/**
 * Plays a course, and checks that few runs come too late, none if each run ends its
 * server, and that harmless requests are served.
 *
 * @param report - Receives the figures.
 * @param course - See {@link EndCourse}.
 */
export async function checkEndCourse(report: (text: string) => void, course: EndCourse): Promise<void> {
	const {ended, lateRuns, harmless, refused} = await playEndCourse(course);
	report(`${ended} servers ended, ${lateRuns} late runs; ${refused} of ${harmless} harmless requests refused`);
	assert.ok(course.way === undefined || ended >= 3);
	assert.ok(lateRuns <= (course.isFatal === undefined ? 0 : maxLateRuns), `${lateRuns} late runs`);
	assert.ok(refused <= (course.otherEndsMs === undefined ? 0 : toMaxRefused(harmless)), `${refused} of ${harmless} refused`);
}
