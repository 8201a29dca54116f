/** Drains callers' requests at a stop. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type CallerServer} from '../../../../adapters/caller-http/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type ServeContext} from '../../_lib/serve-types.js';

/** Time for servers to confirm cancels before the process ends. */
export const cancelSettleMs = 2000;
/** Time for aborted runs to answer their callers. */
export const abortSettleMs = 500;
const settlePollMs = 20;

/**
 * Waits, for a bounded time, until aborted runs have ended and their cancels are
 * confirmed.
 *
 * @param ctx - Services of the entry, for its runs and cancels.
 */
export async function settle({registry, services}: ServeContext): Promise<void> {
	await waitWhile(() => registry.size() > 0);
	await services.cancels.settle(cancelSettleMs);
}

async function waitWhile(isBusy: () => boolean): Promise<void> {
	for (let waitedMs = 0; isBusy() && waitedMs < abortSettleMs; waitedMs += settlePollMs) {
		await sleep(settlePollMs);
	}
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

	// A request that is read from now on would begin a run that nothing aborts.
	ctx.stopDeadline.end();
	for (const requestId of ctx.registry.abandon()) {
		ctx.log.error('request aborted at the drain timeout', {requestId});
	}

	// Requests whose body has not arrived are no runs, and are refused all the same.
	await Promise.all([waitWhile(() => callers.openExchanges() > 0), settle(ctx)]);
	callers.destroy();
}
