/**
 * Runs the attempts of a request one after the other, until one completes or no
 * retry is allowed.
 */
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerId, type ZoneId} from '../../../ports/ids.js';
import {type AttemptFailure, runAttempt} from '../run-attempt/index.js';
import {type Run, type RunServices} from '../_lib/types.js';
import {waitUnlessAborted} from '../_lib/wait-unless-aborted.js';
import {place} from './_lib/place.js';
import {type RunEnd, toEnded, toGivenUp} from './_lib/to-run-end.js';

export {type RunEnd, toEnded} from './_lib/to-run-end.js';

type TriedServer = {
	server: ServerId;
	zone: ZoneId;
};

/** Whether the decode server had no free slot. This is no fault: under load many servers are full, and their load reports lag behind. */
function isFull({step, failure}: AttemptFailure): boolean {
	return step === 'reserve' && failure.kind === 'refused' && failure.reason === 'full';
}

function reportFull(run: Run, attempt: number, server: ServerId): void {
	run.account.addStage('server full', {attempt, server});
	run.log.info('decode server full, asking the next', {attempt, server});
}

function reportFailure(run: Run, attempt: number, failed: AttemptFailure): void {
	const {step, server, failure} = failed;
	run.account.resolveDetails();
	run.account.addStage('attempt failed', {
		attempt, step, server: server.id, failure: failure.kind, reason: failure.reason, message: failure.message,
	});
	run.log.warn('attempt failed', {
		attempt, step, server: server.id, kind: failure.kind, reason: failure.reason ?? failure.message,
	});
}

/**
 * Runs an admitted request to its end. Retries after failures are charged to the
 * pool's retry budget. A full decode server costs nothing and is asked only once,
 * so that a request makes at most one such call to each server before it waits for
 * admission again.
 *
 * @param run - The request.
 * @param services - Services of the entry.
 * @param firstAttempt - Number of the first attempt; above 1 for a request that found all servers full and was admitted again.
 * @returns The end, and the number of the next attempt.
 */
export async function runRequest(run: Run, services: RunServices, firstAttempt: number): Promise<{end: RunEnd; nextAttempt: number}> {
	const {clock} = services;
	const budget = services.toRetryBudget(run.rule.then.pool);
	const tried: TriedServer[] = [];
	const full = new Set<ServerId>();
	let failed: ReadonlySet<ServerId> = new Set();
	for (let attempt = firstAttempt; ; attempt++) {
		await run.readClose();
		if (run.signal.aborted) {
			return {end: toEnded(run), nextAttempt: attempt};
		}

		const placed = place(run, services, {failed, full}, attempt);
		if (placed.isErr()) {
			return {end: placed.error, nextAttempt: attempt};
		}

		const placement = placed.value;
		run.log.info('attempt started', {attempt, prefillServer: placement.prefill.id, decodeServer: placement.decode.id});
		const ended = await runAttempt(run, services, placement, {attempt, isFirst: tried.length === 0});
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

		if (isFull(ended)) {
			// Not charged to the retry budget: under load, full servers would use up the budget that is meant for failures.
			full.add(ended.server.id);
			reportFull(run, attempt, ended.server.id);
			continue;
		}

		reportFailure(run, attempt, ended);
		tried.push({server: ended.server.id, zone: ended.server.zone});
		const decision = budget.takeRetry({
			repeatable: run.rule.then.repeatable,
			bytesOffered: ended.hasOffered ? run.request.prompt.length : 0,
			outcome: ended.hasOffered ? 'may-have-run' : 'not-run',
			attempt: tried.length,
			deadline: toRetryDeadline(run),
			expectedMs: placement.predictedFirstTokenMs,
			tried,
		}, clock.now(), services.random);
		if (decision.kind === 'give-up') {
			run.account.addStage('given up', {reason: decision.reason});
			return {end: toGivenUp(run, ended), nextAttempt: attempt + 1};
		}

		if (ended.hasOffered) {
			services.runMetrics.countRerun();
		}

		failed = new Set(decision.avoidServers);
		await waitUnlessAborted(run, decision.delayMs);
	}
}

/** A caller that already has part of the answer waits for the rest even past the deadline. */
function toRetryDeadline(run: Run): Milliseconds {
	return run.buffer.offset() > 0 ? Infinity : run.deadline;
}
