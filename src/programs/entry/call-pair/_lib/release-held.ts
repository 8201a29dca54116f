import {type ServerEntry} from '../../../../ports/config.js';
import {type CacheCalls} from '../../../../ports/server-calls.js';
import {type PlainRun} from '../../call-plain/_lib/types.js';

/**
 * Releases a reservation or a cache that a server holds for this host. Both expire
 * by themselves within a second or two, so a server that asks to back off or limits
 * its requests is not called for it.
 *
 * @param run - The request.
 * @param label - Kind of what is released, for the log.
 * @param held - The server, and the call that releases.
 */
export function releaseHeld(run: PlainRun, label: string, {server, call}: {server: ServerEntry; call: () => ReturnType<CacheCalls['dropCache']>}): void {
	const {services, serverLimits} = run.ctx;
	if (services.placement.isPaused(server.id, services.clock.now())) {
		run.log.info('not given back while the server asks to back off', {step: label, server: server.id});
		return;
	}

	if (serverLimits.isLimited(server)) {
		run.log.info('not given back while the server limits its requests', {step: label, server: server.id});
		return;
	}

	void (async () => {
		const done = await call();
		if (done.isErr()) {
			// Not retried: a reservation or cache expires within a second or two, before a second call would help.
			run.log.info('could not give back', {
				step: label, server: done.error.server, reason: done.error.message,
			});
		}
	})();
}
