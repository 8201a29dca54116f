/** Creates refusals: why a request is not placed, and when the caller may retry. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type FleetView} from '../../../ports/view.js';
import {type PlacementAccount, type PlacementRefusal, type PlacementRefusalReason} from './types.js';

const minRetryAfterMs = 100;
const maxRetryAfterMs = 30_000;
/** Retry delay while no server is in service. */
export const noServerRetryAfterMs = 2000;

const noAccount = (pool: string): PlacementAccount => ({
	pool, chosen: [], passedOver: [], counts: {}, notLookedAt: 0,
});

const toRetryAfter = (ms: Milliseconds): Milliseconds => Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, ms)));

/** Creates a refusal with its retry delay limited to the bounds above. */
export const toRefusal = (reason: PlacementRefusalReason, message: string, retryAfterMs: Milliseconds, account: () => PlacementAccount): PlacementRefusal => ({
	reason, message, retryAfterMs: toRetryAfter(retryAfterMs), account,
});

/** Creates the refusal for a pool that the view does not have. */
export const toLookupRefusal = (view: FleetView, pool: string): PlacementRefusal => {
	const isEmpty = view.accepted === undefined;
	return {
		reason: isEmpty ? 'no-config' : 'no-pool',
		message: isEmpty ? 'no configuration has been accepted yet' : `pool ${pool} is not in the configuration in force`,
		retryAfterMs: noServerRetryAfterMs,
		account: () => noAccount(pool),
	};
};
