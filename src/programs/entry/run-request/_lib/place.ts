/** Picks the servers of an attempt, and notes why. */
import {err, ok, type Result} from 'neverthrow';
import {type Placement} from '../../../../domain/create-placement/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type ServerId} from '../../../../ports/ids.js';
import {msPerSecond} from '../../../../ports/units.js';
import {type Run, type RunServices} from '../../_lib/types.js';
import {type RunEnd, toNotPlaced} from './to-run-end.js';

/** What became of a request's earlier attempts. */
export type History = {
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
		maxTokens: run.request.maxTokens,
		class: run.rule.then.class,
		firstTokenBudgetMs: toFirstTokenBudget(run, options.hasFailed, now),
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
function pickElsewhere(run: Run, services: RunServices, {failed, full}: History) {
	const hasFailed = failed.size > 0;
	const picked = pick(run, services, {exclude: new Set([...failed, ...full]), hasFailed});
	return picked?.isErr() && picked.error.reason === 'no-server' && hasFailed
		? pick(run, services, {exclude: new Set(full), hasFailed})
		: picked;
}

/** Servers passed over that an account keeps by name; the counts hold them all. */
const keptRows = 16;

/**
 * Places the request and notes it in its account. Why servers were passed over
 * is left to a reader of the account, because working it out costs more than
 * the pick itself. The placement handed back holds no view: kept for the life of
 * a stream, each open stream would hold a view of the whole fleet of its own.
 *
 * @param run - The request.
 * @param services - The program around it.
 * @param history - Servers to leave alone.
 * @param attempt - Number of the attempt, from 1.
 * @returns The pair, or the request's end.
 */
export function place(run: Run, services: RunServices, history: History, attempt: number): Result<Placement, RunEnd> {
	const picked = pickElsewhere(run, services, history);
	if (picked === undefined) {
		return err({
			kind: 'failed', problem: {
				kind: 'no-configuration', detail: 'This host has no configuration yet.', outcome: 'not-run', retryAfterMs: msPerSecond,
			},
		});
	}

	if (picked.isErr()) {
		run.account.note('not placed', {...picked.error.account(), reason: picked.error.reason});
		return err(toNotPlaced(run, picked.error, history.full.size > 0));
	}

	const {account, prefill, decode, predictedFirstTokenMs, expectedCachedTokens} = picked.value;
	const chosen = [prefill.id, decode.id];
	run.account.noteLazy('placed', {
		attempt, pool: run.rule.then.pool, chosen, predictedFirstTokenMs, expectedCachedTokens,
	}, () => {
		const {passedOver, counts, notLookedAt} = account();
		return {passedOver: passedOver.slice(0, keptRows), counts, notLookedAt};
	});
	return ok({
		...picked.value, account: () => ({
			pool: run.rule.then.pool, chosen, passedOver: [], counts: {}, notLookedAt: 0,
		}),
	});
}
