/** What is told of a run once it has ended. */
import {type KeyedVerdict} from '../../claims/index.js';
import {type RunEnd} from '../../run-request/index.js';
import {type EndedRequest} from '../../_lib/ended-request.js';
import {type ServeContext} from '../../_lib/serve-types.js';
import {type Run} from '../../_lib/types.js';

function toEndReport(run: Run, end: RunEnd): Pick<EndedRequest, 'end' | 'outcome'> & {reason: string} {
	if (end.kind === 'complete') {
		return {end: 'complete', outcome: 'ran', reason: 'complete'};
	}

	if (end.kind === 'gone') {
		return {end: 'caller-gone', outcome: run.ledger.outcome(), reason: 'caller-gone'};
	}

	const {outcome, kind} = end.problem;
	return {end: outcome === 'not-run' ? 'refused' : 'failed', outcome, reason: kind};
}

/**
 * Tells log, account, metrics and the service-level ledger how a run ended.
 *
 * @param run - The run.
 * @param end - How it ended.
 * @param ctx - The program around it.
 */
export function reportEnd(run: Run, end: RunEnd, ctx: ServeContext): void {
	const completeMs = ctx.services.clock.now() - run.receivedAt;
	const {reason, ...report} = toEndReport(run, end);
	const outputTokens = run.buffer.offset();
	run.account.addStage('ended', {outcome: report.outcome, reason, outputTokens});
	run.log.info('request ended', {
		outcome: report.outcome, reason, outputTokens, durationMs: completeMs,
	});
	const firstTokenAt = run.ledger.firstTokenAt();
	ctx.onEnded({
		workspace: run.workspace, rule: run.rule, ...report, completeMs, outputTokens, firstTokenMs: firstTokenAt === undefined ? undefined : firstTokenAt - run.receivedAt,
	});
}

/**
 * Turns the end of a run into what a second call with the same key may conclude.
 *
 * @param run - The run.
 * @param end - How it ended.
 * @returns `failed` also where it is not known whether anything ran.
 */
export function toVerdict(run: Run, end: RunEnd): KeyedVerdict {
	if (end.kind === 'complete') {
		return 'complete';
	}

	return run.ledger.outcome() === 'not-run' ? 'not-run' : 'failed';
}
