/** Decides whether a request that failed at one server is sent to another. */
import {
	type FailedAttempt, type NoRetryReason, type RetryAnswer, type RetryBudget,
} from '../../../../domain/create-retry-budget/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type PlainFault} from '../../send-plain/index.js';
import {type PlainRun} from './types.js';

const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS']);

/**
 * Whether a request may run more than once without harm.
 *
 * @param run - The caller's request and its rule.
 * @returns `true` if the rule says so; without a relay policy also for safe methods.
 */
export function isRepeatable(run: Pick<PlainRun, 'exchange' | 'route'>): boolean {
	const {repeatable, relay} = run.route.rule.then;
	// A relay policy states for each route whether it is repeatable, so the method adds nothing.
	return repeatable || (relay === undefined && safeMethods.has(run.exchange.method));
}

/** Maximum number of calls of a request whose last call did not run it: a prefill, or a call that a server refused or that did not reach it. The route's limit of attempts counts runs alone. */
const maxCallsNotRun = 3;

/** Faults after which no server has been offered the request by the failed call. */
const notOfferedKinds: ReadonlySet<PlainFault['kind']> = new Set(['unreachable', 'not-run']);

/** Faults after which no server has begun to run the request of the failed call. */
const notStartedKinds: ReadonlySet<PlainFault['kind']> = new Set([...notOfferedKinds, 'refused']);

/**
 * @param fault - Why a call that carried the request failed.
 * @returns Whether the server may have begun to run the request.
 */
export function mayHaveStarted(fault: PlainFault): boolean {
	const isUnsent = fault.kind === 'aborted' && fault.isUnsent === true;
	return !notStartedKinds.has(fault.kind) && !isUnsent;
}

export type RetryDecision = {kind: 'give-up'} | {kind: 'retry'; delayMs: Milliseconds};

/** Describes a failed call for the retry budget. */
function toFailedAttempt(run: PlainRun, {isOffered, isStarted, runs}: {isOffered: boolean; isStarted: boolean; runs: number}): FailedAttempt {
	const {relay} = run.route.rule.then;
	return {
		attempt: isStarted ? runs : run.tried.length,
		...(relay && {maxAttempts: isStarted ? relay.attempts : maxCallsNotRun}),
		tried: run.tried,
		repeatable: isRepeatable(run),
		bytesOffered: isOffered ? 1 : 0,
		outcome: isStarted ? 'may-have-run' : 'not-run',
		deadline: run.deadline,
		expectedMs: 0,
	};
}

function canResend({body}: PlainRun): boolean {
	return !body.isTaken() && body.fault() === undefined;
}

/**
 * Finds the reason why a request can't be retried if the answer that has just
 * begun reports a failure. With a reason, the failed answer is relayed to the
 * caller, because it is more useful than a refusal by this host.
 *
 * @param run - The request; its current call is not counted in `runs` yet.
 * @returns The reason; `undefined` if the answer may be dropped for a retry.
 */
export function findNoRetryReason(run: PlainRun): NoRetryReason | 'own-answer' | undefined {
	const {services} = run.ctx;
	// Without a relay policy, callers get the answer of their service as it is.
	if (run.route.rule.then.relay === undefined) {
		return 'own-answer';
	}

	if (!isRepeatable(run) || !canResend(run)) {
		return 'not-repeatable';
	}

	const failed = toFailedAttempt(run, {
		isOffered: true, isStarted: true, runs: run.runs + 1,
	});
	return services.toRetryBudget(run.route.pool.name).findNoRetryReason(failed, services.clock.now());
}

/**
 * Returns the number of calls that another attempt adds before its decode: a prefill,
 * unless the cache of the failed attempt is kept or its prefill was what failed.
 */
function countPrefills({route, ctx, kept}: PlainRun, hasRun: boolean): number {
	return hasRun && kept === undefined && route.pool.kind === 'model' && ctx.calls.caches !== undefined ? 1 : 0;
}

/** Takes retries that the hosts keep together. */
async function takeShared({ctx, route}: PlainRun, retries: number): Promise<boolean> {
	return await ctx.services.sharedRetries?.take(route.pool.name, retries) ?? false;
}

/**
 * Decides about a retry, and charges a granted one to the retry budget of this host
 * or, if that is spent, to the one that all hosts share.
 *
 * If both are spent before the prefill of a granted retry is paid, the decode server
 * does the prefill instead, which is slower and delays the tokens of its other
 * requests.
 *
 * @param run - The request.
 * @param fault - Why the call failed.
 * @param hasRun - Whether the call carried the request itself, not only its prefill.
 * @returns Whether to call another server, and after which delay.
 */
export async function decideRetry(run: PlainRun, fault: PlainFault, hasRun: boolean): Promise<RetryDecision> {
	const {clock, random, toRetryBudget} = run.ctx.services;
	if (!canResend(run)) {
		return {kind: 'give-up'};
	}

	const isOffered = !notOfferedKinds.has(fault.kind);
	const isStarted = hasRun && mayHaveStarted(fault);
	const failed = toFailedAttempt(run, {isOffered, isStarted, runs: run.runs});
	const budget = toRetryBudget(run.route.pool.name);
	const prefills = countPrefills(run, hasRun);
	const own = budget.takeRetry(failed, clock.now(), random);
	const sharedCost = budget.toCost(failed) + prefills;
	if (own.kind === 'give-up' && own.reason === 'budget' && await takeShared(run, sharedCost)) {
		const shared = budget.takeRetry(failed, clock.now(), random, {isPaid: true});
		run.isDecodeOnly &&= prefills === 0;
		reportDecision(run, shared, budget, {kind: 'shared', cost: sharedCost});
		return shared;
	}

	const cost = own.kind === 'retry' ? own.cost + await payPrefills(run, budget, prefills) : 0;
	reportDecision(run, own, budget, {kind: 'own', cost});
	return own;
}

/** Pays the prefill of a granted retry, and returns its cost; if that can't be paid, the decode server is to do the prefill. */
async function payPrefills(run: PlainRun, budget: RetryBudget, prefills: number): Promise<number> {
	if (prefills === 0) {
		return 0;
	}

	run.isDecodeOnly = !budget.takeExtraCall(run.ctx.services.clock.now()) && !await takeShared(run, prefills);
	return run.isDecodeOnly ? 0 : prefills;
}

/** Logs and counts a decision, with the state of this host's share of the retry budget. */
function reportDecision({ctx, route, log, tried}: PlainRun, answer: RetryAnswer, budget: RetryBudget, {kind, cost}: {kind: 'own' | 'shared'; cost: number}): void {
	const {clock, runMetrics} = ctx.services;
	const granted = kind === 'own' ? 'granted' : 'granted-shared';
	const decision = answer.kind === 'retry' ? granted : answer.reason;
	runMetrics.countRetryDecision(decision, cost);
	log.info('retry decided', {
		attempt: tried.length, pool: route.pool.name, reason: decision, cost, available: toHundredths(budget.available(clock.now())), limit: budget.capacity(),
	});
}

const toHundredths = (value: number): number => Math.round(value * 100) / 100;
