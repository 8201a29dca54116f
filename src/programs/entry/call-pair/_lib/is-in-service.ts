import {type ServerEntry} from '../../../../ports/config.js';
import {type PlainRun} from '../../call-plain/_lib/types.js';

/**
 * Whether a server that was picked before the prefill should still get new work.
 * A prefill takes up to 1.5 s, and a change of the fleet is known 0.6 s late. A
 * leaving server continues for 2 s and then stops, which would break the caller's
 * stream; another prefill elsewhere costs only about 0.3 s.
 *
 * @param run - The request.
 * @param server - The picked server.
 * @returns `true` if the server is in the fleet view and is not leaving.
 */
export function isInService(run: PlainRun, {id}: ServerEntry): boolean {
	return run.ctx.services.toView()?.servers.get(id)?.leaving === false;
}
