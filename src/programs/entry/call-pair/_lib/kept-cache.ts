/**
 * Keeps the cache of a computed prompt for the next attempt, when the reserved decode
 * server was lost before it fetched the cache.
 */
import {type Milliseconds} from '../../../../ports/clock.js';
import {type PromptCache} from '../../../../ports/server-calls.js';
import {type PlainRun} from '../../call-plain/_lib/types.js';
import {type PlainFault} from '../../send-plain/index.js';
import {releaseHeld} from './release-held.js';

/** Maximum age of a cache that another decode server is asked to fetch. Prefill servers free what is not fetched soon, and a freed cache costs a refused call. */
const maxCacheAgeMs: Milliseconds = 350;

/**
 * Whether a failed call to a decode server left the cache at its prefill server: the
 * call did not reach the server, or another server has its address. After any other
 * refusal the cache itself may be the cause.
 *
 * @param fault - Why the call failed.
 * @returns `true` if another decode server can fetch the cache.
 */
export function isCacheLeft(fault: PlainFault): boolean {
	return fault.kind === 'unreachable' || (fault.kind === 'refused' && (fault.reason === 'wrong-model' || fault.reason === 'leaving'));
}

/** Frees the kept cache, if there is one. */
export function dropKeptCache(run: PlainRun): void {
	const {kept} = run;
	if (kept === undefined) {
		return;
	}

	run.kept = undefined;
	releaseHeld(run, 'cache', {server: kept.server, call: () => run.ctx.calls.caches!.dropCache(kept)});
}

/**
 * Whether the next attempt needs no prefill.
 *
 * @param run - The request.
 * @returns `true` if a cache is kept that a decode server can still fetch.
 */
export function hasKeptCache({kept, ctx}: PlainRun): boolean {
	return kept !== undefined && ctx.services.clock.now() - kept.computedAt <= maxCacheAgeMs;
}

/**
 * Takes the kept cache for a decode call; one that is too old is freed instead.
 *
 * @param run - The request; it keeps no cache afterwards.
 * @returns The cache, or `undefined` if the prompt has to be computed.
 */
export function takeKeptCache(run: PlainRun): PromptCache | undefined {
	if (!hasKeptCache(run)) {
		dropKeptCache(run);
		return undefined;
	}

	const {kept} = run;
	run.kept = undefined;
	return kept;
}
