/**
 * A request's attempts, one after the other, to its one end.
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

/** Nothing ran and nothing is wrong: under load many servers are full at any time, and their reports are late. */
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
 * Runs an admitted request to its end. Failures are paid from the pool's retry
 * budget; a decode server without room costs nothing and is asked once, so that
 * a request makes at most as many such calls as there are servers before it
 * waits for room again.
 *
 * @param run - The request.
 * @param services - The program around it.
 * @param firstAttempt - Number of the first attempt, for a request that comes again after it was bounced.
 * @returns The end, and the number that the next attempt would have.
 */
export async function runRequest(run: Run, services: RunServices, firstAttempt: number): Promise<{end: RunEnd; nextAttempt: number}> {
	const {clock} = services;
	const budget = services.toRetryBudget(run.rule.then.pool);
	const tried: TriedServer[] = [];
	const full = new Set<ServerId>();
	let failed: ReadonlySet<ServerId> = new Set();
	for (let attempt = firstAttempt; ; attempt++) {
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
			// Paid from the retry budget, a busy hour's full servers would use up what is meant for failures.
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

/** A caller that already has a part of the answer waits for the rest also past the deadline. */
function toRetryDeadline(run: Run): Milliseconds {
	return run.buffer.offset() > 0 ? Infinity : run.deadline;
}
