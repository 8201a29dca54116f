/** The stream of one request: which servers may continue it, and what other hosts are told of it. */
import {createStreamBinding, type StreamBinding} from '../../../domain/create-stream-binding/index.js';
import {type StreamOrigin} from '../../../ports/stream-origins.js';

export type RunStream = Pick<StreamBinding, 'accepts'> & {
	/** Where the servers have to be from; `undefined` while any server may serve the request. */
	origin: () => StreamOrigin | undefined;
	/** Whether the caller has events that no server is known to continue. */
	hasUnknownOrigin: () => boolean;
	/** Notes that events of an origin are about to be sent to the caller; `undefined` if another host did not tell it. */
	noteEvents: (origin: StreamOrigin | undefined) => void;
};

export type RunStreamOptions = {
	/** Origin of the stream that the request continues; `undefined` for a request that begins one. */
	origin: StreamOrigin | undefined;
	/** Tells other hosts where the stream began; absent where this host does not answer the caller itself. */
	record?: ((origin: StreamOrigin) => void) | undefined;
};

/**
 * Creates the stream of a request.
 *
 * @param options - See {@link RunStreamOptions}.
 * @returns See {@link RunStream}.
 */
export function createRunStream({origin: continued, record}: RunStreamOptions): RunStream {
	const binding = createStreamBinding(continued);
	let isRecorded = false;

	function toBoundOrigin(): StreamOrigin | undefined {
		const state = binding.state();
		return state.kind === 'bound' ? state.origin : undefined;
	}

	return {
		accepts: binding.accepts,
		origin: toBoundOrigin,
		hasUnknownOrigin: () => binding.state().kind === 'unknown',
		noteEvents(next) {
			binding.noteEvent(next);
			const origin = toBoundOrigin();
			if (origin !== undefined && !isRecorded) {
				isRecorded = true;
				record?.(origin);
			}
		},
	};
}
