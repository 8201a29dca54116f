import {setTimeout as sleep} from 'node:timers/promises';
import {type Milliseconds} from '../../../ports/clock.js';
import {type Run} from './types.js';

/**
 * Waits for a time, or until the run is aborted.
 *
 * @param run - The run, for its signal.
 * @param ms - Time to wait, milliseconds.
 */
export async function waitUnlessAborted(run: Pick<Run, 'signal'>, ms: Milliseconds): Promise<void> {
	try {
		await sleep(ms, undefined, {signal: run.signal});
	} catch {
		// The run was aborted; callers check its signal after the wait.
	}
}
