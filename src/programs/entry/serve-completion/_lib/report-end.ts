/** Reports ended runs. */
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
 * Reports the end of a run to the log, its account, the metrics and the service-level ledger.
 *
 * @param run - The run.
 * @param end - How the run ended.
 * @param ctx - Services of the entry.
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
 * Converts the end of a run to the verdict for later calls with the same idempotency key.
 *
 * @param run - The run.
 * @param end - How the run ended.
 * @returns The verdict; `failed` also if it is unknown whether anything ran.
 */
export function toVerdict(run: Run, end: RunEnd): KeyedVerdict {
	if (end.kind === 'complete') {
		return 'complete';
	}

	return run.ledger.outcome() === 'not-run' ? 'not-run' : 'failed';
}
