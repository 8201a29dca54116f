/** Charges requests to the limits of their workspaces. */
import {err, ok, type Result} from 'neverthrow';
import {toRequestCost} from '../../../domain/to-request-cost/index.js';
import {type Problem} from '../../../domain/to-problem/index.js';
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type WorkspaceLimit} from '../../../ports/config.js';
import {type WorkspaceId} from '../../../ports/ids.js';
import {type Quotas, type QuotaSpend} from '../../../ports/quotas.js';
import {type RequestHints} from '../../../ports/server-calls.js';
import {msPerSecond} from '../../../ports/units.js';
import {type Account} from '../accounts/index.js';
import {type KeyedVerdict} from '../claims/index.js';
import {type Route} from '../_lib/route.js';

/** Callers refused at the same moment are spread over this time, so that they don't return together. */
const retrySpreadMs: Milliseconds = 2 * msPerSecond;

/** Shortest retry delay, after which a little of the limit is free again. */
const minRetryMs: Milliseconds = 500;

export type ChargeOptions = {
	quotas: Quotas;
	account: Account;
	random: Random;
	/** Counts a request that was refused because its workspace had used its limit. */
	countOverLimit: (workspace: WorkspaceId) => void;
};

/** The most that one request may cost; a larger one would exceed the limit by itself. */
const toMaxCost = ({perSecond, burst}: WorkspaceLimit): number => perSecond + burst;

/**
 * Charges a request to its workspace before it waits or is sent to any server.
 *
 * @param route - Workspace, limit and edition of the configuration.
 * @param hints - Tokens of the request.
 * @param options - The quotas, the account of the request, and a source of randomness that spreads retries.
 * @returns What was charged, to be given back if the request is not run; `undefined` without a limit. An error is the answer to the caller.
 */
export async function chargeRequest({workspace, limit, edition}: Pick<Route, 'workspace' | 'limit' | 'edition'>, hints: Pick<RequestHints, 'promptTokens' | 'maxTokens'>, {quotas, account, random, countOverLimit}: ChargeOptions): Promise<Result<QuotaSpend | undefined, Problem>> {
	if (limit === undefined) {
		return ok(undefined);
	}

	const cost = toRequestCost(limit, hints);
	if (cost > toMaxCost(limit)) {
		return err({kind: 'over-limit', detail: `The request counts as ${cost} ${limit.unit}, more than the limit of the workspace ever allows at once. Send a smaller one.`, outcome: 'not-run'});
	}

	const spend: QuotaSpend = {
		workspace, cost, edition, rate: {perSecond: limit.perSecond, burst: limit.burst},
	};
	const {isGranted, waitMs} = await quotas.take(spend);
	account.addStage(isGranted ? 'charged' : 'over limit', {workspace, cost});
	if (isGranted) {
		return ok(spend);
	}

	countOverLimit(workspace);
	return err({
		kind: 'over-limit', detail: `The workspace has used its limit of ${limit.perSecond} ${limit.unit} a second.`, outcome: 'not-run', retryAfterMs: Math.max(minRetryMs, waitMs) + (random() * retrySpreadMs),
	});
}

export type ServeChargedOptions = ChargeOptions & {
	route: Pick<Route, 'workspace' | 'limit' | 'edition'>;
	hints: Pick<RequestHints, 'promptTokens' | 'maxTokens'>;
	/** Answers the caller in place of a run. */
	refuse: (problem: Problem) => void;
};

/**
 * Serves a request if its workspace is within its limit, and gives the charge back
 * if the request was not run.
 *
 * @param serve - Serves the request.
 * @param options - What to charge, and how to refuse.
 * @returns Whether the request ran.
 */
export async function serveCharged(serve: () => Promise<KeyedVerdict>, {route, hints, refuse, ...options}: ServeChargedOptions): Promise<KeyedVerdict> {
	const charged = await chargeRequest(route, hints, options);
	if (charged.isErr()) {
		refuse(charged.error);
		return 'not-run';
	}

	const verdict = await serve();
	if (verdict === 'not-run' && charged.value !== undefined) {
		options.quotas.giveBack(charged.value);
	}

	return verdict;
}
