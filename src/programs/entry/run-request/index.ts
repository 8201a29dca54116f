/**
 * A request's attempts, one after the other, to its one end.
 */
import {err, ok, type Result} from 'neverthrow';
import {type Placement, type PlacementRefusal, type PlacementRefusalReason} from '../../../domain/create-placement/index.js';
import {type Problem, type ProblemKind} from '../../../domain/to-problem/index.js';
import {type ServerId, type ZoneId} from '../../../ports/ids.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {msPerSecond} from '../../../ports/units.js';
import {type AttemptFailure, runAttempt} from '../run-attempt/index.js';
import {
	type AnswerEnd, type EndCause, type Run, type RunServices,
} from '../_lib/types.js';
import {waitAwake} from '../_lib/wait-awake.js';

export type RunEnd =
	| ({kind: 'complete'} & AnswerEnd)
	| {kind: 'failed'; problem: Problem}
	/** Every decode server was full: the request may wait again. */
	| {kind: 'bounced'; problem: Problem}
	/** Nobody waits for the answer any more. */
	| {kind: 'gone'};

type Tried = {
	server: ServerId;
	zone: ZoneId;
};

const refusalKinds: Readonly<Record<PlacementRefusalReason, ProblemKind>> = {
	'no-config': 'no-configuration',
	'no-pool': 'no-capacity',
	'no-server': 'no-capacity',
	'no-memory': 'no-capacity',
	'would-miss-target': 'target-missed',
};

/** Time that another attempt takes, as long as no placement has been predicted. */
const defaultExpectedMs = 100;

function toRefused(run: Run, refusal: PlacementRefusal): RunEnd {
	const kind = refusalKinds[refusal.reason];
	const problem: Problem = {
		kind, detail: `${refusal.message}.`, outcome: run.ledger.outcome(), retryAfterMs: refusal.retryAfterMs,
	};
	return {kind: refusal.reason === 'no-memory' ? 'bounced' : 'failed', problem};
}

/** The end of a request that can't go on after a failed attempt. */
function toGivenUp(run: Run, failed: AttemptFailure): RunEnd {
	const outcome = run.ledger.outcome();
	const {failure, step, server} = failed;
	if (failure.kind === 'refused' && failure.reason === 'full' && step === 'reserve') {
		return {
			kind: 'bounced',
			problem: {
				kind: 'no-capacity', detail: 'Every decode server that was asked is full.', outcome, retryAfterMs: failure.retryAfterMs ?? defaultExpectedMs,
			},
		};
	}

	const isLate = failed.isTimedOut && outcome !== 'ran';
	const kind: ProblemKind = isLate ? 'deadline-passed' : (outcome === 'ran' ? 'answer-lost' : 'backend-failed');
	const again = outcome === 'not-run' ? ' Nothing was run; send it again.' : ' It was not run again, because it may not be or there was no time.';
	return {
		kind: 'failed',
		problem: {
			kind, detail: `Step "${step}" failed on server ${server.id}: ${failure.kind}.${again}`, outcome, ...(outcome === 'not-run' && {retryAfterMs: failure.retryAfterMs ?? defaultExpectedMs}),
		},
	};
}

/** The end of a request that was told to end. */
export function toEnded(run: Run): RunEnd {
	// Without a cause the caller has stopped reading, and its connection is being closed.
	const cause = run.signal.reason as EndCause | undefined ?? 'caller-gone';
	if (cause === 'caller-gone') {
		return {kind: 'gone'};
	}

	const outcome = run.ledger.outcome();
	const comeBack = outcome === 'not-run' && {retryAfterMs: msPerSecond};
	const problem: Problem = cause === 'stopping'
		? {
			kind: 'stopping', detail: 'This host was stopped before the answer was whole.', outcome, ...comeBack,
		}
		: {
			kind: 'deadline-passed', detail: 'The deadline passed before the answer began.', outcome, ...comeBack,
		};
	return {kind: 'failed', problem};
}

function pick(run: Run, services: RunServices, avoid: ReadonlySet<ServerId>) {
	const view = services.toView();
	const now = services.clock.now();
	if (view === undefined) {
		return undefined;
	}

	return services.placement.pick({
		pool: run.rule.then.pool,
		model: run.model,
		version: run.version,
		adapter: run.rule.then.adapter,
		promptTokens: run.promptTokens + run.buffer.offset(),
		maxTokens: run.request.maxTokens,
		class: run.rule.then.class,
		// After a failure the first token may come late; late is better than never as long as the answer is in time.
		firstTokenBudgetMs: run.buffer.offset() > 0 ? Infinity : (avoid.size > 0 ? run.deadline : run.firstTokenDeadline) - now,
		prefixBlocks: run.prefixBlocks,
		exclude: avoid,
	}, view, now, services.random);
}

/**
 * Picks another pair while there is one. Where every server of a role has
 * failed this request once, a refusal would be final although the fault may
 * have been of a moment; the retry budget bounds the attempts and its backoff
 * spaces them, so asking one of them again can't become a storm.
 */
function pickElsewhere(run: Run, services: RunServices, avoid: ReadonlySet<ServerId>) {
	const picked = pick(run, services, avoid);
	return picked?.isErr() && picked.error.reason === 'no-server' && avoid.size > 0
		? pick(run, services, new Set())
		: picked;
}

/** Servers passed over that an account keeps by name; the counts hold them all. */
const keptRows = 16;

/**
 * Places the request and keeps what an account needs. The placement's own
 * account holds the view it was made from: kept for the life of a stream, each
 * open stream would hold a view of the whole fleet of its own.
 */
function place(run: Run, services: RunServices, avoid: ReadonlySet<ServerId>, attempt: number): Result<Placement, RunEnd> {
	const picked = pickElsewhere(run, services, avoid);
	if (picked === undefined) {
		return err({
			kind: 'failed', problem: {
				kind: 'no-configuration', detail: 'This host has no configuration yet.', outcome: 'not-run', retryAfterMs: 1000,
			},
		});
	}

	if (picked.isErr()) {
		run.account.note('not placed', {...picked.error.account(), reason: picked.error.reason});
		return err(toRefused(run, picked.error));
	}

	const whole = picked.value.account();
	const account = {...whole, passedOver: whole.passedOver.slice(0, keptRows)};
	run.account.note('placed', {attempt, ...account});
	const placement: Placement = {...picked.value, account: () => account};
	return ok(placement);
}

function logFailure(run: Run, attempt: number, failed: AttemptFailure): void {
	const {step, server, failure} = failed;
	run.account.note('attempt failed', {
		attempt, step, server: server.id, failure: failure.kind, reason: failure.reason, message: failure.message,
	});
	run.log.warn('attempt failed', {
		attempt, step, server: server.id, kind: failure.kind, reason: failure.reason ?? failure.message,
	});
}

/**
 * Runs an admitted request to its end.
 *
 * @param run - The request.
 * @param services - The program around it.
 * @param firstAttempt - Number of the first attempt, for a request that comes again after it was bounced.
 * @returns The end, and the number that the next attempt would have.
 */
export async function runRequest(run: Run, services: RunServices, firstAttempt: number): Promise<{end: RunEnd; nextAttempt: number}> {
	const {clock} = services;
	const budget = services.toRetryBudget(run.rule.then.pool);
	const tried: Tried[] = [];
	let avoid = new Set<ServerId>();
	for (let attempt = firstAttempt; ; attempt++) {
		if (run.signal.aborted) {
			return {end: toEnded(run), nextAttempt: attempt};
		}

		const placed = place(run, services, avoid, attempt);
		if (placed.isErr()) {
			return {end: placed.error, nextAttempt: attempt};
		}

		const placement = placed.value;
		run.log.info('attempt started', {attempt, prefillServer: placement.prefill.id, decodeServer: placement.decode.id});
		const ended = await runAttempt(run, services, placement, attempt);
		if (ended.kind === 'complete') {
			budget.noteSuccess(clock.now());
			const {promptTokens, cachedTokens} = ended.prefill;
			return {
				end: {kind: 'complete', finish: run.buffer.finish()!, usage: {promptTokens, cachedTokens, completionTokens: run.buffer.offset()}},
				nextAttempt: attempt + 1,
			};
		}

		if (ended.kind === 'gone') {
			return {end: toEnded(run), nextAttempt: attempt + 1};
		}

		logFailure(run, attempt, ended);
		tried.push({server: ended.server.id, zone: ended.server.zone});
		const again = budget.takeRetry({
			repeatable: run.rule.then.repeatable,
			bytesOffered: ended.hasOffered ? run.request.prompt.length : 0,
			outcome: ended.hasOffered ? 'may-have-run' : 'not-run',
			attempt: tried.length,
			deadline: toRetryDeadline(run),
			expectedMs: placement.predictedFirstTokenMs,
			tried,
		}, clock.now(), services.random);
		if (again.kind === 'give-up') {
			run.account.note('given up', {reason: again.reason});
			return {end: toGivenUp(run, ended), nextAttempt: attempt + 1};
		}

		if (ended.hasOffered) {
			services.tally.rerun();
		}

		avoid = new Set(again.avoidServers);
		await waitAwake(run, again.delayMs);
	}
}

/** A caller that already has a part of the answer waits for the rest also past the deadline. */
function toRetryDeadline(run: Run): Milliseconds {
	return run.buffer.offset() > 0 ? Infinity : run.deadline;
}
