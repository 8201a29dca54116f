/** Whether a request that failed at one server goes to another. */
import {
	type FailedAttempt, type NoRetryReason, type RetryAnswer, type RetryBudget,
} from '../../../../domain/create-retry-budget/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type PlainFault} from '../../send-plain/index.js';
import {type PlainRun} from './types.js';

const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS']);

/**
 * Tells whether the call may run a second time without harm.
 *
 * @param run - The caller's request and its rule.
 * @returns `true` if the rule says so, and for methods that change nothing.
 */
export function isRepeatable(run: Pick<PlainRun, 'exchange' | 'route'>): boolean {
	const {repeatable, relay} = run.route.rule.then;
	// Where operators publish for each route whether it may be repeated, a method says nothing more.
	return repeatable || (relay === undefined && safeMethods.has(run.exchange.method));
}

/** Prompts that are sent to be computed before a request is given up: none of them runs the request. */
const maxPrefillAttempts = 3;

export type RetryDecision = {kind: 'give-up'} | {kind: 'retry'; delayMs: Milliseconds};

/** What the retry budget is told of a call: whether it ran the request, or may have. */
function toFailedAttempt(run: PlainRun, {hasRun, isOffered, isStarted, sent}: {hasRun: boolean; isOffered: boolean; isStarted: boolean; sent: number}): FailedAttempt {
	const {relay} = run.route.rule.then;
	return {
		attempt: hasRun ? sent : run.tried.length,
		...(relay && {maxAttempts: hasRun ? relay.attempts : maxPrefillAttempts}),
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
 * Tells what keeps the request from another server after the answer that has
 * just begun. A failed answer is passed on then: an answer of its server is
 * worth more to a caller than a refusal of ours.
 *
 * @param run - The request; its present call is not counted in `sent` yet.
 * @returns The reason; `undefined` if the answer may be let go.
 */
export function findNoRetryReason(run: PlainRun): NoRetryReason | 'own-answer' | undefined {
	const {services} = run.ctx;
	// Own callers without relay terms get what their service answers.
	if (run.route.rule.then.relay === undefined) {
		return 'own-answer';
	}

	if (!isRepeatable(run) || !canResend(run)) {
		return 'not-repeatable';
	}

	const failed = toFailedAttempt(run, {
		hasRun: true, isOffered: true, isStarted: true, sent: run.sent + 1,
	});
	return services.toRetryBudget(run.route.pool.name).findNoRetryReason(failed, services.clock.now());
}

/**
 * Decides, and spends from the budget when the request goes on.
 *
 * @param run - The request.
 * @param fault - Why the call brought no answer.
 * @param hasRun - Whether the call was to run the request, and not just compute its prompt.
 * @returns Whether to call another server, and when.
 */
export function decideRetry(run: PlainRun, fault: PlainFault, hasRun: boolean): RetryDecision {
	const {services} = run.ctx;
	if (!canResend(run)) {
		return {kind: 'give-up'};
	}

	const isOffered = fault.kind !== 'unreachable';
	const isStarted = hasRun && isOffered && fault.kind !== 'refused';
	const failed = toFailedAttempt(run, {
		hasRun, isOffered, isStarted, sent: run.sent,
	});
	const budget = services.toRetryBudget(run.route.pool.name);
	const answer = budget.takeRetry(failed, services.clock.now(), services.random);
	const calls = answer.kind === 'retry' && hasRun ? chargePrefill(run, budget) : 0;
	reportDecision(run, answer, budget, calls);
	return answer;
}

/**
 * Servers count a prompt that is computed again as a call, beside the run itself.
 * Where the budget holds no more, the decode server computes it: slower, and
 * between the tokens of others.
 *
 * @returns What it cost.
 */
function chargePrefill(run: PlainRun, budget: RetryBudget): number {
	if (run.route.pool.kind !== 'model' || run.ctx.calls.caches === undefined) {
		return 0;
	}

	run.isDecodeOnly = !budget.takeExtraCall(run.ctx.services.clock.now());
	return run.isDecodeOnly ? 0 : 1;
}

/** What was decided, and by which state of the budget, of which each host has its own part. */
function reportDecision({ctx, route, log, tried}: PlainRun, answer: RetryAnswer, budget: RetryBudget, promptCost: number): void {
	const {clock, runMetrics} = ctx.services;
	const decision = answer.kind === 'retry' ? 'granted' : answer.reason;
	const cost = promptCost + (answer.kind === 'retry' ? answer.cost : 0);
	runMetrics.countRetryDecision(decision, cost);
	log.info('retry decided', {
		attempt: tried.length, pool: route.pool.name, reason: decision, cost, available: toHundredths(budget.available(clock.now())), limit: budget.capacity(),
	});
}

const toHundredths = (value: number): number => Math.round(value * 100) / 100;
