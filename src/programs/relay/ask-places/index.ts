/** Lets requests wait for a place at a server, of which the server's keeper decides. */
import {type ServerPlaces} from '../../../domain/create-server-places/index.js';
import {type Clock} from '../../../ports/clock.js';
import {type Place, type Places} from '../../../ports/places.js';
import {createOverdueTimer} from '../_lib/create-overdue-timer.js';

/**
 * Turns the places of a host into one promise for each request, and calls them when
 * an answer is overdue.
 *
 * @param places - The places of this host.
 * @param clock - Clock of the process.
 * @returns The places for callers' requests.
 */
export function askPlaces(places: ServerPlaces, {now}: Pick<Clock, 'now'>): Places {
	const timer = createOverdueTimer(places, now);
	return {
		async take(server, options) {
			return new Promise<Place | undefined>(resolve => {
				places.take(server, options, now(), resolve);
				timer.schedule();
			});
		},
	};
}
