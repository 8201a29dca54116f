import {type Problem} from '../../../../domain/to-problem/index.js';
import {isRepeatable} from './decide-retry.js';
import {type PlainRun} from './types.js';

/** What a cut costs decides how sure its absence must be: a request that may not run again is lost, another one is sent again. */
const shares = {repeatable: 0.5, once: 1} as const;

/**
 * Finds whether a request that no server has would be cut by the planned stop of this
 * host. Refused now, its caller sends it to another host at once; sent, it would run
 * and its answer be lost.
 *
 * @param run - The request, before a call.
 * @returns The problem to answer with; `undefined` if the request may be sent.
 */
export function findStopProblem(run: PlainRun): Problem | undefined {
	const {ctx, route, deadline, ledger} = run;
	const {stopDeadline, runDurations, services: {clock}} = ctx;
	const leftMs = stopDeadline.endsAt() - clock.now();
	if (leftMs === Infinity || ledger.outcome() !== 'not-run') {
		return undefined;
	}

	const expectedMs = runDurations.toExpectedMs(route.rule.name, isRepeatable(run) ? shares.repeatable : shares.once) ?? Infinity;
	return Math.min(expectedMs, deadline - clock.now()) < leftMs && !stopDeadline.signal.aborted
		? undefined
		: {
			kind: 'stopping', detail: 'This host stops before the request could end. Nothing was sent; send the request again, to another host.', outcome: 'not-run', retryAfterMs: 0,
		};
}
