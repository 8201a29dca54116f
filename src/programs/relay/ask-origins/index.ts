/** Lets requests wait for the origin of the stream that they continue. */
import {type StreamOriginsTable} from '../../../domain/create-stream-origins/index.js';
import {type Clock} from '../../../ports/clock.js';
import {type StreamOrigin, type StreamOrigins} from '../../../ports/stream-origins.js';
import {createOverdueTimer} from '../_lib/create-overdue-timer.js';

/**
 * Turns each search of a host's origins into a promise, and gives up when answers
 * are overdue.
 *
 * @param origins - The origins of this host.
 * @param clock - Clock of the process.
 * @returns The origins for callers' requests.
 */
export function askOrigins(origins: StreamOriginsTable, {now}: Pick<Clock, 'now'>): StreamOrigins {
	const timer = createOverdueTimer(origins, now);
	return {
		note(record) {
			origins.note(record, now());
		},
		async find(key) {
			return new Promise<StreamOrigin | undefined>(resolve => {
				origins.find(key, now(), resolve);
				timer.schedule();
			});
		},
	};
}
