/** How requests wait to be started, on the port for callers and on that for other hosts. */
import {type Log} from '../../../../adapters/log/index.js';
import {type Clock} from '../../../../ports/clock.js';
import {type ServerCalls} from '../../../../ports/server-calls.js';
import {toMaxWaitMs} from '../../_lib/to-max-wait.js';
import {type CallerWaits} from './types.js';

export type CallerWaitsParts = {
	calls: Pick<ServerCalls, 'parseHints'>;
	clock: Clock;
	log: Log;
	/** Counts a caller who has left before its request was started. */
	countLeft: () => void;
};

/**
 * @param parts - Parts of the entry that it depends on.
 * @returns Limits of waiting, and what happens when a caller leaves meanwhile.
 */
export function createCallerWaits({calls, clock, log, countLeft}: CallerWaitsParts): CallerWaits {
	return {
		toMaxWaitMs: headers => toMaxWaitMs(calls.parseHints(headers).timeoutMs),
		onLeftUnstarted({requestId, receivedAt}) {
			countLeft();
			log.info('caller left before its request was started', {requestId, durationMs: Math.round(clock.now() - receivedAt)});
		},
	};
}
