/** The end of a planned stop, as far as requests have to know it. */
import {setMaxListeners} from 'node:events';
import {type Milliseconds} from '../../../ports/clock.js';

export type StopDeadline = {
	/** Sets when the requests that are left will be aborted. */
	begin: (endsAt: Milliseconds) => void;
	/** Monotonic time of the end; infinity unless this host is stopping. */
	endsAt: () => Milliseconds;
	/** Marks the end: no request may be sent any more. */
	end: () => void;
	/** Aborts at the end. */
	signal: AbortSignal;
};

/** Creates the deadline of a host that is not stopping. */
export function createStopDeadline(): StopDeadline {
	const ended = new AbortController();
	// Each request whose body is being read listens.
	setMaxListeners(0, ended.signal);
	let endsAt = Infinity;
	return {
		begin(at) {
			endsAt = at;
		},
		endsAt: () => endsAt,
		end() {
			ended.abort();
		},
		signal: ended.signal,
	};
}
