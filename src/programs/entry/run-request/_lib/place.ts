/** Picks the servers of an attempt, and records the pick in the request's account. */
import {err, ok, type Result} from 'neverthrow';
import {type Placement} from '../../../../domain/create-placement/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type ServerId} from '../../../../ports/ids.js';
import {hasServerOf, toOriginGone} from '../../_lib/servers-of-origin.js';
import {recordPlacement} from '../../_lib/record-placement.js';
import {noConfiguration} from '../../_lib/problems.js';
import {type Run, type RunServices} from '../../_lib/types.js';
import {type RunEnd, toNotPlaced} from './to-run-end.js';

/** Servers that earlier attempts of a request met. */
export type AttemptHistory = {
	/** Servers that failed the request, and that the next attempt avoids. */
	failed: ReadonlySet<ServerId>;
	/** Decode servers without a free slot for the request. */
	full: ReadonlySet<ServerId>;
};

/** Time left until the first token, milliseconds. After a failure only the deadline of the whole answer counts, because a late first token is better than none. */
function toFirstTokenBudget(run: Run, hasFailed: boolean, now: Milliseconds): Milliseconds {
	return run.buffer.offset() > 0 ? Infinity : (hasFailed ? run.deadline : run.firstTokenDeadline) - now;
}

function pick(run: Run, services: RunServices, options: {exclude: ReadonlySet<ServerId>; hasFailed: boolean}) {
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
		maxTokens: run.request.maxTokens - run.buffer.offset(),
		class: run.rule.then.class,
		firstTokenBudgetMs: toFirstTokenBudget(run, options.hasFailed, now),
		perTokenTargetMs: run.rule.then.target.perTokenMs,
		prefixBlocks: run.prefixBlocks,
		exclude: options.exclude,
		origin: run.stream.origin(),
	}, view, now, services.random);
}

/**
 * Picks a pair of servers that has not failed this request. If all servers of a
 * role have failed it once, it picks one of them again, because the fault may have
 * been temporary. The retry budget bounds these attempts and its backoff spaces
 * them, so that they can't become a retry storm. Full servers are not picked
 * again: retries of full servers are charged to no budget.
 */
function pickUntried(run: Run, services: RunServices, {failed, full}: AttemptHistory) {
	const hasFailed = failed.size > 0;
	const picked = pick(run, services, {exclude: new Set([...failed, ...full]), hasFailed});
	return picked?.isErr() && picked.error.reason === 'no-server' && hasFailed
		? pick(run, services, {exclude: new Set(full), hasFailed})
		: picked;
}

/** Ends a request whose answer no engine can continue. */
function findGone({stream, ledger}: Run, {toView}: RunServices): RunEnd | undefined {
	const origin = stream.origin();
	return origin === undefined || hasServerOf(origin, toView()) ? undefined : {kind: 'failed', problem: toOriginGone(origin, ledger.outcome())};
}

/**
 * Picks the servers of an attempt and records them in the request's account.
 *
 * @param run - The request.
 * @param services - Services of the entry.
 * @param history - Servers to avoid.
 * @param attempt - Number of the attempt, from 1.
 * @returns The pair of servers, or the end of the request.
 */
export function place(run: Run, services: RunServices, history: AttemptHistory, attempt: number): Result<Placement, RunEnd> {
	const picked = pickUntried(run, services, history);
	if (picked === undefined) {
		return err({kind: 'failed', problem: {...noConfiguration, outcome: run.ledger.outcome()}});
	}

	if (picked.isErr()) {
		run.account.addStage('not placed', {...picked.error.account(), reason: picked.error.reason});
		return err(findGone(run, services) ?? toNotPlaced(run, picked.error, history.full.size > 0));
	}

	const {
		prefill, decode, predictedFirstTokenMs, predictedStepMs, expectedCachedTokens,
	} = picked.value;
	return ok(recordPlacement(run.account, picked.value, {
		attempt, pool: run.rule.then.pool, chosen: [prefill.id, decode.id], predictedFirstTokenMs, predictedStepMs, expectedCachedTokens,
	}));
}
