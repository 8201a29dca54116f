/** Polls for a state in tests, so that they need no fixed delays. */
import {setTimeout as sleep} from 'node:timers/promises';

export type WaitOptions = {
	/** Timeout of the wait, milliseconds. */
	deadlineMs: number;
	/** Description of the awaited state, for the error message. */
	what: string;
	/** Interval between two checks, milliseconds. */
	everyMs?: number;
};

/**
 * Calls a check repeatedly until it returns neither `false` nor `undefined`.
 *
 * @param check - The check. An error that it throws ends the wait.
 * @returns The value that the check returned last.
 * @throws If the deadline passes first.
 */
export async function waitUntil<T>(check: () => T | Promise<T>, {deadlineMs, what, everyMs = 20}: WaitOptions): Promise<Exclude<T, false | undefined>> {
	const until = performance.now() + deadlineMs;
	for (;;) {
		const answer = await check();
		if (answer !== false && answer !== undefined) {
			return answer as Exclude<T, false | undefined>;
		}

		if (performance.now() > until) {
			throw new Error(`timed out after ${deadlineMs} ms while waiting for ${what}`);
		}

		await sleep(everyMs);
	}
}
