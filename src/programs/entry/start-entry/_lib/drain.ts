/** Drains callers' requests at a stop. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type CallerServer} from '../../../../adapters/caller-http/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type ServeContext} from '../../_lib/serve-types.js';

/** Time for servers to confirm cancels before the process ends. */
export const cancelSettleMs = 2000;
const settlePollMs = 20;

/**
 * Waits, for a bounded time, until aborted runs have ended and their cancels are
 * confirmed.
 *
 * @param ctx - Services of the entry, for its runs and cancels.
 */
export async function settle({registry, services}: ServeContext): Promise<void> {
	for (let waitedMs = 0; registry.size() > 0 && waitedMs < cancelSettleMs; waitedMs += settlePollMs) {
		await sleep(settlePollMs);
	}

	await services.cancels.settle(cancelSettleMs);
}

/**
 * Closes the callers' port and waits for its requests. Those that have not ended at
 * the timeout are logged and aborted.
 *
 * @param parts - Server of the callers' port, and services of the entry.
 * @param timeoutMs - Timeout of the drain, milliseconds.
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
		ctx.log.error('request aborted at the drain timeout', {requestId});
	}

	await settle(ctx);
	callers.destroy();
}
