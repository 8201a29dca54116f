import {type ServerEntry} from '../../../../ports/config.js';
import {type CacheCalls} from '../../../../ports/server-calls.js';
import {type PlainRun} from '../../call-plain/_lib/types.js';

/**
 * Gives back what a server keeps for this host. It lapses by itself within a second
 * or two, so one that asks to back off needs no call for it.
 *
 * @param run - The request.
 * @param what - What is given back, for the log.
 * @param kept - The server, and the call that gives it back.
 */
export function releaseHeld(run: PlainRun, what: string, {server, call}: {server: ServerEntry; call: () => ReturnType<CacheCalls['dropCache']>}): void {
	const {services} = run.ctx;
	if (services.placement.isPaused(server.id, services.clock.now())) {
		run.log.info('not given back while the server asks to back off', {step: what, server: server.id});
		return;
	}

	void (async () => {
		const done = await call();
		if (done.isErr()) {
			// It lapses by itself within a second or two, so a second try would come too late to matter.
			run.log.info('could not give back', {
				step: what, server: done.error.server, reason: done.error.message,
			});
		}
	})();
}
