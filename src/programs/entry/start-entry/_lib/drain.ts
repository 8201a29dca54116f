/** The end of the callers' requests at a stop. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type CallerServer} from '../../../../adapters/caller-http/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type ServeContext} from '../../_lib/serve-types.js';

/** Time for cancels to be confirmed before the process ends. */
export const cancelSettleMs = 2000;
const settlePollMs = 20;

/**
 * Waits, for a bounded time, until runs that were told to end have cancelled on
 * their engines.
 *
 * @param ctx - Runs in progress, and the queue of cancels.
 */
export async function settle({registry, services}: ServeContext): Promise<void> {
	for (let waitedMs = 0; registry.size() > 0 && waitedMs < cancelSettleMs; waitedMs += settlePollMs) {
		await sleep(settlePollMs);
	}

	await services.cancels.settle(cancelSettleMs);
}

/**
 * Closes the callers' port; what is left at the limit is named in the log and
 * ended.
 *
 * @param parts - The callers' port and the runs behind it.
 * @param timeoutMs - Limit of the drain, milliseconds.
 */
export async function drain({callers, ctx}: {callers: CallerServer; ctx: ServeContext}, timeoutMs: Milliseconds): Promise<void> {
	const closed = callers.close();
	const limit = new AbortController();
	const isDrained = await Promise.race([
		closed.then(() => true), // eslint-disable-line promise/prefer-await-to-then -- raced against the limit
		sleep(timeoutMs, false, {signal: limit.signal}),
	]);
	limit.abort();
	if (isDrained) {
		return;
	}

	for (const requestId of ctx.registry.abandon()) {
		ctx.log.error('abandoned at the limit of the drain', {requestId});
	}

	await settle(ctx);
	callers.destroy();
}
