import {err, type Result} from 'neverthrow';
import {type Milliseconds} from '../../../../ports/clock.js';
import {runStep, type StepFailure} from '../../_lib/step.js';
import {type Attempt} from './attempt.js';

export type Transfer = {
	reservationId: string;
	/** KV cache that the prefill engine holds. */
	kvId: string;
	bytes: number;
	/** Time until the reserved slot, or the request, is over. */
	slotRemainingMs: Milliseconds;
};

/**
 * How long a transfer may take before it is given up. One that stalls would
 * hold the request until its slot expires, past any first-token target; given
 * up in time, the work still begins elsewhere. Only where another attempt may
 * follow: of a request of which an attempt failed already, or whose rule allows
 * no second run, the transfer may take what time the slot has.
 */
function toTransferTimeoutMs({isFirst, run, services, placement}: Attempt, bytes: number): Milliseconds {
	const {prefill, decode} = placement;
	const mayRunAgain = isFirst && run.rule.then.repeatable;
	return mayRunAgain ? services.transferLimits.toTimeoutMs({from: prefill.zone, to: decode.zone}, bytes) : Infinity;
}

/**
 * Moves the KV cache from the prefill to the decode engine, and learns from the time that it took.
 *
 * @param attempt - The attempt.
 * @param transfer - See {@link Transfer}.
 * @returns Bytes moved; `broken` if it was given up, as the request's own time is not over then.
 */
export async function transferCache(attempt: Attempt, transfer: Transfer): Promise<Result<{bytes: number}, StepFailure>> {
	const {run, services, placement, key} = attempt;
	const {prefill: from, decode: to} = placement;
	const {transferLimits, clock} = services;
	const {reservationId, kvId, bytes, slotRemainingMs} = transfer;
	const link = {from: from.zone, to: to.zone};
	const startedAt = clock.now();
	const timeoutMs = toTransferTimeoutMs(attempt, bytes);
	const transferred = await runStep(attempt.step, {limitMs: Math.min(slotRemainingMs, timeoutMs), server: to.id}, signal =>
		services.toEngine(to).importKv({
			key, reservationId, fromUrl: from.url, kvId,
		}, {signal}));
	if (transferred.isOk()) {
		transferLimits.noteDone(link, bytes, clock.now() - startedAt);
	} else if (transferred.error.isTimedOut && timeoutMs < slotRemainingMs) {
		transferLimits.noteTimedOut(link, bytes, clock.now() - startedAt);
		run.account.addStage('transfer given up', {from: from.id, to: to.id, limitMs: Math.round(timeoutMs)});
		// The request's own time is not over: what follows must not say that a deadline passed.
		return err({
			...transferred.error, kind: 'broken', message: `the transfer from ${from.id} had not ended after ${Math.round(timeoutMs)} ms`, isTimedOut: false,
		});
	}

	return transferred;
}
