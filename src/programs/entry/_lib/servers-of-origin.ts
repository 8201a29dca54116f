/** Servers that can continue a stream, and streams that none is left for. */
import {isSameOrigin, toStreamOrigin} from '../../../domain/create-stream-binding/index.js';
import {type Problem} from '../../../domain/to-problem/index.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type StreamOrigin} from '../../../ports/stream-origins.js';
import {type FleetView} from '../../../ports/view.js';

/**
 * @param origin - Where a stream began.
 * @param view - The fleet as this host knows it.
 * @returns The servers of the origin that take new work and generate answers.
 */
export function listServersOf(origin: StreamOrigin, view: FleetView | undefined): readonly ServerEntry[] {
	const servers = view?.accepted?.config.servers ?? [];
	return servers.filter(server => isSameOrigin(toStreamOrigin(server), origin) && server.role !== 'prefill' && view?.servers.get(server.id)?.leaving === false);
}

/**
 * @param origin - Where a stream began.
 * @param view - The fleet as this host knows it.
 * @returns Whether some server can continue the stream.
 */
export function hasServerOf(origin: StreamOrigin, view: FleetView | undefined): boolean {
	return listServersOf(origin, view).length > 0;
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
