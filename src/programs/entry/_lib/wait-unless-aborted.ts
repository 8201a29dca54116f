import {setTimeout as sleep} from 'node:timers/promises';
import {type Milliseconds} from '../../../ports/clock.js';
import {type Run} from './types.js';

/**
 * Waits, but no longer than the run is wanted.
 *
 * @param run - The request.
 * @param ms - How long.
 */
export async function waitUnlessAborted(run: Pick<Run, 'signal'>, ms: Milliseconds): Promise<void> {
	try {
		await sleep(ms, undefined, {signal: run.signal});
	} catch {
		// The run was told to end, which whoever waits here looks at next.
	}
}
