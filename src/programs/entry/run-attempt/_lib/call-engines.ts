/** Calls of an attempt to a single engine. */
import {type Result} from 'neverthrow';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type DecodeChunk, type PrefillResult} from '../../../../ports/engine.js';
import {msPerSecond} from '../../../../ports/units.js';
import {runStep, type StepFailure} from '../../_lib/step.js';
import {toStallTimeoutMs} from '../../relay-stream/index.js';
import {isWithoutServerState, type Attempt} from './attempt.js';

const reserveTimeoutMs = 2 * msPerSecond;

/** Reserves a slot at the decode engine. */
export async function reserve(attempt: Attempt) {
	const {run, services, placement, key} = attempt;
	const {decode} = placement;
	attempt.serversToRelease.add(decode);
	const ttlMs = Math.max(services.reservationTtlMs, placement.reservationTtlMs);
	const result = await runStep(attempt.step, {limitMs: Math.min(reserveTimeoutMs, attempt.toRemainingMs()), server: decode.id}, signal =>
		services.toEngine(decode).reserve(key, {
			promptTokens: run.promptTokens + run.buffer.offset(), maxTokens: run.request.maxTokens - run.buffer.offset(), ttlMs, class: run.rule.then.class,
		}, {signal}));
	if (result.isErr() && isWithoutServerState(result.error)) {
		attempt.serversToRelease.delete(decode);
	}

	return result;
}

/**
 * Prefills the prompt, and the part of the answer that earlier attempts produced.
 *
 * @param attempt - The attempt; its ledger counts the request as offered from here on.
 * @param limitMs - Time until the reserved slot expires or the request's time is up, milliseconds.
 */
export async function prefill(attempt: Attempt, limitMs: Milliseconds): Promise<Result<PrefillResult, StepFailure>> {
	const {run, services, placement, key} = attempt;
	const server = placement.prefill;
	attempt.serversToRelease.add(server);
	run.ledger.noteOffered();
	const answered = run.buffer.tokens();
	const result = await runStep(attempt.step, {limitMs, server: server.id}, signal =>
		services.toEngine(server).prefill({
			key,
			model: run.model,
			version: run.version,
			adapter: run.rule.then.adapter,
			prompt: run.request.prompt,
			...(answered.length > 0 && {answered}),
			class: run.rule.then.class,
			deadlineInMs: limitMs,
		}, {signal}));
	if (result.isErr() && isWithoutServerState(result.error)) {
		attempt.serversToRelease.delete(server);
		run.ledger.noteNotStarted();
	}

	return result;
}

/** Opens the stream of the answer, starting at the first token that the caller does not have. */
export async function openStream(attempt: Attempt, reservationId: string): Promise<Result<AsyncIterable<DecodeChunk>, StepFailure>> {
	const {run, services, placement, key} = attempt;
	const answerOffset = run.buffer.offset();
	return runStep(attempt.step, {limitMs: toStallTimeoutMs(run), server: placement.decode.id}, signal =>
		services.toEngine(placement.decode).decode({
			key, reservationId, maxTokens: run.request.maxTokens, ...(answerOffset > 0 && {answerOffset}), class: run.rule.then.class,
		}, {signal}));
}
