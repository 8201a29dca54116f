import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type AnswerHeaders} from '../../../ports/server-calls.js';
import {type ServeContext} from './serve-types.js';

/**
 * Records the limit that an answer states for its server.
 *
 * @param ctx - Services of the entry.
 * @param server - The server that was called.
 * @param answer - Head of its answer, and the monotonic time at which the call began.
 */
export function noteStatedLimit({calls, serverLimits}: Pick<ServeContext, 'calls' | 'serverLimits'>, server: ServerEntry, {status, headers, calledAt}: {status: number; headers: AnswerHeaders; calledAt: Milliseconds}): void {
	const stated = calls.readLimit?.(status, headers);
	if (stated !== undefined) {
		serverLimits.noteAnswer(server, stated, calledAt);
	}
}
