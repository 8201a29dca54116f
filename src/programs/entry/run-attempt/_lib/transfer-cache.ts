import {err, type Result} from 'neverthrow';
import {type Milliseconds} from '../../../../ports/clock.js';
import {runStep, type StepFailure} from '../../_lib/step.js';
import {type Attempt} from './attempt.js';

export type Transfer = {
	reservationId: string;
	/** Id of the KV cache at the prefill engine. */
	kvId: string;
	bytes: number;
	/** Time until the reserved slot expires or the request's time is up. */
	slotRemainingMs: Milliseconds;
};

/**
 * Timeout of a transfer, milliseconds. A stalled transfer would hold the request
 * until its slot expires, past any first-token target; after a timeout the
 * request can still start on other servers. There is no timeout besides the slot's
 * expiry if an attempt of the request has failed already, or if its rule allows no
 * second run.
 */
function toTransferTimeoutMs({isFirst, run, services, placement}: Attempt, bytes: number): Milliseconds {
	const {prefill, decode} = placement;
	const mayRunAgain = isFirst && run.rule.then.repeatable;
	return mayRunAgain ? services.transferTimeouts.toTimeoutMs({from: prefill.zone, to: decode.zone}, bytes) : Infinity;
}

/**
 * Transfers the KV cache from the prefill to the decode engine, and feeds the
 * duration into the timeouts of later transfers.
 *
 * @param attempt - The attempt.
 * @param transfer - See {@link Transfer}.
 * @returns Bytes transferred; a transfer that timed out fails as `broken`, because the request itself still has time.
 */
export async function transferCache(attempt: Attempt, transfer: Transfer): Promise<Result<{bytes: number}, StepFailure>> {
	const {run, services, placement, key} = attempt;
	const {prefill: from, decode: to} = placement;
	const {transferTimeouts, clock} = services;
	const {reservationId, kvId, bytes, slotRemainingMs} = transfer;
	const link = {from: from.zone, to: to.zone};
	const startedAt = clock.now();
	const timeoutMs = toTransferTimeoutMs(attempt, bytes);
	const transferred = await runStep(attempt.step, {limitMs: Math.min(slotRemainingMs, timeoutMs), server: to.id}, signal =>
		services.toEngine(to).importKv({
			key, reservationId, fromUrl: from.url, kvId,
		}, {signal}));
	if (transferred.isOk()) {
		transferTimeouts.noteDone(link, bytes, clock.now() - startedAt);
	} else if (transferred.error.isTimedOut && timeoutMs < slotRemainingMs) {
		transferTimeouts.noteTimedOut(link, bytes, clock.now() - startedAt);
		run.account.addStage('transfer given up', {from: from.id, to: to.id, limitMs: Math.round(timeoutMs)});
		// Not reported as a timeout: the request itself still has time, and its caller must not be told that the deadline passed.
		return err({
			...transferred.error, kind: 'broken', message: `the transfer from ${from.id} did not end within ${Math.round(timeoutMs)} ms`, isTimedOut: false,
		});
	}

	return transferred;
}
