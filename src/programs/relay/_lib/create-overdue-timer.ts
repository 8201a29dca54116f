import {type Clock, type Milliseconds} from '../../../ports/clock.js';

export type Overdue = {
	/** Ends the questions whose answer is overdue. */
	tick: (now: Milliseconds) => void;
	/** When the next answer is overdue; `undefined` while none is due. */
	dueAt: () => Milliseconds | undefined;
};

/**
 * Creates one timer for all open questions of a kind. It runs for the answer that is
 * due first; answers that come in time leave it without work.
 *
 * @param overdue - Ends questions, and tells when the next one is due.
 * @param now - Monotonic milliseconds.
 * @returns A function to call after each new question.
 */
export function createOverdueTimer(overdue: Overdue, now: Clock['now']): {schedule: () => void} {
	let timer: NodeJS.Timeout | undefined;

	function schedule(): void {
		const dueAt = overdue.dueAt();
		if (timer !== undefined || dueAt === undefined) {
			return;
		}

		timer = setTimeout(() => {
			timer = undefined;
			overdue.tick(now());
			schedule();
		}, Math.max(1, Math.ceil(dueAt - now())));
	}

	return {schedule};
}
