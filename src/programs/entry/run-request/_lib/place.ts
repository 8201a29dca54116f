/** Picks the servers of an attempt, and notes why. */
import {err, ok, type Result} from 'neverthrow';
import {type Placement} from '../../../../domain/create-placement/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type ServerId} from '../../../../ports/ids.js';
import {recordPlacement} from '../../_lib/record-placement.js';
import {noConfiguration} from '../../_lib/problems.js';
import {type Run, type RunServices} from '../../_lib/types.js';
import {type RunEnd, toNotPlaced} from './to-run-end.js';

/** What became of a request's earlier attempts. */
export type AttemptHistory = {
	/** Servers that failed it and are left alone for the next attempt. */
	failed: ReadonlySet<ServerId>;
	/** Decode servers that had no room for it. */
	full: ReadonlySet<ServerId>;
};

/** After a failure the first token may come late; late is better than never as long as the answer is in time. */
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
	}, view, now, services.random);
}

/**
 * Picks another pair while there is one. Where every server of a role has
 * failed this request once, a refusal would be final although the fault may
 * have been of a moment; the retry budget bounds the attempts and its backoff
 * spaces them, so asking one of them again can't become a storm. Full servers
 * are not asked again: nothing bounds those but that each is asked once.
 */
function pickUntried(run: Run, services: RunServices, {failed, full}: AttemptHistory) {
	const hasFailed = failed.size > 0;
	const picked = pick(run, services, {exclude: new Set([...failed, ...full]), hasFailed});
	return picked?.isErr() && picked.error.reason === 'no-server' && hasFailed
		? pick(run, services, {exclude: new Set(full), hasFailed})
		: picked;
}

/**
 * Places the request and notes it in its account.
 *
 * @param run - The request.
 * @param services - The program around it.
 * @param history - Servers to leave alone.
 * @param attempt - Number of the attempt, from 1.
 * @returns The pair, or the request's end.
 */
export function place(run: Run, services: RunServices, history: AttemptHistory, attempt: number): Result<Placement, RunEnd> {
	const picked = pickUntried(run, services, history);
	if (picked === undefined) {
		return err({kind: 'failed', problem: {...noConfiguration, outcome: run.ledger.outcome()}});
	}

	if (picked.isErr()) {
		run.account.addStage('not placed', {...picked.error.account(), reason: picked.error.reason});
		return err(toNotPlaced(run, picked.error, history.full.size > 0));
	}

	const {
		prefill, decode, predictedFirstTokenMs, predictedStepMs, expectedCachedTokens,
	} = picked.value;
	return ok(recordPlacement(run.account, picked.value, {
		attempt, pool: run.rule.then.pool, chosen: [prefill.id, decode.id], predictedFirstTokenMs, predictedStepMs, expectedCachedTokens,
	}));
}
