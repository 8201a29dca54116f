/** Lets requests wait until this host knows what the other hosts know. */
import {type CatchUp} from '../../../domain/create-catch-up/index.js';
import {type Clock} from '../../../ports/clock.js';
import {createOverdueTimer} from '../_lib/create-overdue-timer.js';

/**
 * Turns the wait of a host into a promise, and asks other hosts again when their
 * answers are overdue.
 *
 * @param catchUp - The decision of this host.
 * @param clock - Clock of the process.
 * @returns A function that resolves once callers' requests may be sent to servers.
 */
export function awaitCatchUp(catchUp: CatchUp, {now}: Pick<Clock, 'now'>): () => Promise<void> {
	const timer = createOverdueTimer(catchUp, now);
	return async () => {
		if (!catchUp.isBehind(now())) {
			return;
		}

		timer.schedule();
		await new Promise<void>(resolve => {
			catchUp.whenDone(resolve, now());
		});
	};
}
