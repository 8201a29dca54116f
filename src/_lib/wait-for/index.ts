import {setTimeout as sleep} from 'node:timers/promises';
import {type Milliseconds} from '../../ports/clock.js';

/**
 * Waits, or returns early when the signal aborts.
 *
 * @param ms - How long, milliseconds.
 * @param signal - Ends the wait; it does not make it reject.
 * @returns Resolves at the end of the wait or at the abort.
 */
export async function waitFor(ms: Milliseconds, signal: AbortSignal): Promise<void> {
	try {
		await sleep(ms, undefined, {signal});
	} catch {}
}
