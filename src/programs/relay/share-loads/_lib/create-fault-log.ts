import {type Log} from '../../../../adapters/log/index.js';
import {type Clock, type Milliseconds} from '../../../../ports/clock.js';
import {msPerSecond} from '../../../../ports/units.js';

/** Shortest interval between log lines about faulty datagrams, which are counted in between. */
const faultLogIntervalMs: Milliseconds = 10 * msPerSecond;

/**
 * Creates a function that logs faulty datagrams, with the number since the last line.
 *
 * @param options - Clock and log of the process.
 * @returns A function that takes the reason of one fault.
 */
export function createFaultLog({clock, log}: {clock: Clock; log: Log}): (reason: string) => void {
	let count = 0;
	let loggedAt: Milliseconds | undefined;
	return reason => {
		count++;
		const now = clock.now();
		if (loggedAt === undefined || now - loggedAt >= faultLogIntervalMs) {
			log.warn('message of a peer lost or not understood', {count, reason});
			loggedAt = now;
			count = 0;
		}
	};
}
