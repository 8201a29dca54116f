/** Streams that can't go on, because no server that began them is left. */
import {isSameOrigin, toStreamOrigin} from '../../../domain/create-stream-binding/index.js';
import {type Problem} from '../../../domain/to-problem/index.js';
import {type StreamOrigin} from '../../../ports/stream-origins.js';
import {type FleetView} from '../../../ports/view.js';

/**
 * @param origin - Where a stream began.
 * @param view - The fleet as this host knows it.
 * @returns Whether some server of the origin takes new work and generates answers.
 */
export function hasServerOf(origin: StreamOrigin, view: FleetView | undefined): boolean {
	const servers = view?.accepted?.config.servers ?? [];
	return servers.some(server => isSameOrigin(toStreamOrigin(server), origin) && server.role !== 'prefill' && view?.servers.get(server.id)?.leaving === false);
}

/**
 * Returns the answer to a request whose stream can't go on. It names no time after
 * which the stream could: the caller has to begin a new one.
 *
 * @param origin - Where the stream began.
 * @param outcome - Outcome of the request.
 * @returns The problem.
 */
export function toOriginGone({pool, softwareVersion}: StreamOrigin, outcome: Problem['outcome']): Problem {
	return {
		kind: 'origin-gone', detail: `No server of pool ${pool} with software version ${softwareVersion ?? '(none)'}, which began the stream, is left. Send the request without Last-Event-Id and Resumes to begin a new stream.`, outcome,
	};
}
