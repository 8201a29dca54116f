import {type ServerEntry} from '../../../../ports/config.js';
import {type PlainRun} from '../../call-plain/_lib/types.js';

/**
 * Whether the server, chosen before the prompt, is still to get new work. A prompt
 * takes up to 1.5 s and a change is known 0.6 s late; a server that leaves serves on
 * for 2 s, so the caller's stream would break with it. Computing the prompt anew
 * elsewhere costs some 0.3 s.
 *
 * @param run - The request.
 * @param server - The server.
 * @returns `true` if nothing says that it leaves or is gone.
 */
export function isInService(run: PlainRun, {id}: ServerEntry): boolean {
	return run.ctx.services.toView()?.servers.get(id)?.leaving === false;
}
