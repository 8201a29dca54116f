/**
 * Decides at which servers a stream may go on. What servers of different software
 * versions write does not fit together, and no server checks it: joined, the parts
 * look like a valid stream with wrong content.
 */
import {type ServerEntry} from '../../ports/config.js';
import {type StreamOrigin} from '../../ports/stream-origins.js';

/**
 * - `open`: the caller has no event yet, so any server may serve the stream.
 * - `bound`: the caller has events of servers of one origin.
 * - `unknown`: the caller has events of a host that did not tell their origin, so no
 *   server is known to continue them.
 */
export type StreamBindingState = {kind: 'open'} | {kind: 'bound'; origin: StreamOrigin} | {kind: 'unknown'};

export type StreamBinding = {
	state: () => StreamBindingState;
	/** Whether events of this origin may follow those that the caller has; `undefined` for an origin that was not told. */
	accepts: (origin: StreamOrigin | undefined) => boolean;
	/** Records that an event of an accepted origin may reach the caller; the first one binds the stream. */
	noteEvent: (origin: StreamOrigin | undefined) => void;
};

/**
 * @param a - Origin of one part of a stream.
 * @param b - Origin of another part.
 * @returns Whether one may follow the other.
 */
export function isSameOrigin(a: StreamOrigin, b: StreamOrigin): boolean {
	return a.pool === b.pool && a.softwareVersion === b.softwareVersion;
}

/**
 * @param server - A backend server.
 * @returns The origin of what it writes.
 */
export function toStreamOrigin({pool, softwareVersion}: ServerEntry): StreamOrigin {
	return {pool, softwareVersion};
}

/**
 * Creates the binding of one request.
 *
 * The event decides and not the answer's head, because the caller can continue only
 * what it has received. An event that was written to a connection which then broke
 * may have arrived, so it counts.
 *
 * @param origin - Origin of the stream that the request continues; `undefined` for a request that begins one.
 * @returns See {@link StreamBinding}.
 *
 * @example
 * ```ts
 * const binding = createStreamBinding();
 * binding.noteEvent({pool: 'letters', softwareVersion: 'v1'});
 * binding.accepts({pool: 'letters', softwareVersion: 'v2'}); // => false
 * ```
 */
export function createStreamBinding(origin?: StreamOrigin): StreamBinding {
	let state: StreamBindingState = origin === undefined ? {kind: 'open'} : {kind: 'bound', origin};

	return {
		state: () => state,
		accepts(next) {
			if (state.kind === 'open') {
				return true;
			}

			return state.kind === 'bound' && next !== undefined && isSameOrigin(state.origin, next);
		},
		noteEvent(next) {
			if (state.kind === 'open') {
				state = next === undefined ? {kind: 'unknown'} : {kind: 'bound', origin: next};
			}
		},
	};
}
