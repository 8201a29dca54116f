/** Waiting in tests: for a state, never for a time. */
import {setTimeout as sleep} from 'node:timers/promises';

export type WaitOptions = {
	/** Longest wait, milliseconds. */
	deadlineMs: number;
	/** What is waited for, in the words of the failure. */
	what: string;
	everyMs?: number;
};

/**
 * Asks until the answer is neither `false` nor `undefined`.
 *
 * @param check - Asked again and again; what it throws ends the wait.
 * @returns The answer.
 * @throws When the deadline passes.
 */
export async function waitUntil<T>(check: () => T | Promise<T>, {deadlineMs, what, everyMs = 20}: WaitOptions): Promise<Exclude<T, false | undefined>> {
	const until = performance.now() + deadlineMs;
	for (;;) {
		const answer = await check();
		if (answer !== false && answer !== undefined) {
			return answer as Exclude<T, false | undefined>;
		}

		if (performance.now() > until) {
			throw new Error(`waited ${deadlineMs} ms in vain for ${what}`);
		}

		await sleep(everyMs);
	}
}
