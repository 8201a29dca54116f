/**
 * One attempt of a request: reserve, prefill, transfer, decode, relay.
 */
import {err, type Result} from 'neverthrow';
import {type Placement} from '../../../domain/create-placement/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {
	type AttemptKey, type DecodeChunk, type EngineFailure, type PrefillResult,
} from '../../../ports/engine.js';
import {msPerSecond} from '../../../ports/units.js';
import {
	createStepSignal, runStep, type StepFailure, type StepSignal,
} from '../_lib/step.js';
import {
	type EndCause, type Run, type RunServices, type WasteCause,
} from '../_lib/types.js';
import {relayStream, toStallMs} from '../relay-stream/index.js';

export type AttemptStep = 'reserve' | 'prefill' | 'transfer' | 'decode' | 'relay';

export type AttemptFailure = {
	kind: 'failed';
	step: AttemptStep;
	server: ServerEntry;
	failure: EngineFailure;
	/** Whether the server may have done work for it. */
	hasOffered: boolean;
	isTimedOut: boolean;
};

export type AttemptEnd =
	| {kind: 'complete'; prefill: PrefillResult}
	| {kind: 'gone'}
	| AttemptFailure;

const reserveTimeoutMs = 2 * msPerSecond;

/** What an attempt holds on servers while it goes on. */
type Attempt = {
	run: Run;
	services: RunServices;
	placement: Placement;
	key: AttemptKey;
	step: StepSignal;
	/** Servers that may hold something of it. */
	touched: Set<ServerEntry>;
	timeLeft: () => Milliseconds;
	/** No attempt of the request has failed yet. */
	isFirst: boolean;
};

/** A caller that already has a part of the answer waits for the rest also past the deadline. */
function toTimeLeft(run: Run, now: Milliseconds): Milliseconds {
	const left = run.deadline - now;
	return run.buffer.offset() > 0 ? Math.max(left, run.rule.then.target.completeMs) : left;
}

/**
 * A server that refused, or that no byte reached, holds nothing. One that
 * refuses a duplicate has the first copy: to call that "not run" would let the
 * caller pay twice.
 */
function holdsNothing(failure: StepFailure): boolean {
	return failure.isUnsent || failure.kind === 'unreachable' || (failure.kind === 'refused' && failure.reason !== 'duplicate');
}

function toFailed(attempt: Attempt, step: AttemptStep, server: ServerEntry, failure: StepFailure): AttemptEnd {
	if (attempt.run.signal.aborted) {
		return {kind: 'gone'};
	}

	// A time-out is this host's own signal, but it says something about the server.
	const told: EngineFailure = failure.isTimedOut && !failure.isUnsent ? {...failure, kind: 'broken', message: `no answer in time: ${failure.message}`} : failure;
	attempt.services.placement.noteFailure(server, told, attempt.services.clock.now());
	if (told.reason === 'leaving') {
		attempt.services.reportLeaving(server.id);
	}

	return {
		kind: 'failed', step, server, failure: told, hasOffered: attempt.run.ledger.isOffered(), isTimedOut: failure.isTimedOut,
	};
}

async function reserve(attempt: Attempt) {
	const {run, services, placement, key} = attempt;
	const {decode} = placement;
	attempt.touched.add(decode);
	const ttlMs = Math.max(services.reservationTtlMs, placement.reservationTtlMs);
	const result = await runStep(attempt.step, {limitMs: Math.min(reserveTimeoutMs, attempt.timeLeft()), server: decode.id}, signal =>
		services.toEngine(decode).reserve(key, {
			promptTokens: run.promptTokens + run.buffer.offset(), maxTokens: run.request.maxTokens - run.buffer.offset(), ttlMs, class: run.rule.then.class,
		}, {signal}));
	if (result.isErr() && holdsNothing(result.error)) {
		attempt.touched.delete(decode);
	}

	return result;
}

async function prefill(attempt: Attempt, limitMs: Milliseconds): Promise<Result<PrefillResult, StepFailure>> {
	const {run, services, placement, key} = attempt;
	const server = placement.prefill;
	attempt.touched.add(server);
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
	if (result.isErr() && holdsNothing(result.error)) {
		attempt.touched.delete(server);
		run.ledger.noteNotStarted();
	}

	return result;
}

async function openStream(attempt: Attempt, reservationId: string): Promise<Result<AsyncIterable<DecodeChunk>, StepFailure>> {
	const {run, services, placement, key} = attempt;
	const answerOffset = run.buffer.offset();
	return runStep(attempt.step, {limitMs: toStallMs(run), server: placement.decode.id}, signal =>
		services.toEngine(placement.decode).decode({
			key, reservationId, maxTokens: run.request.maxTokens, ...(answerOffset > 0 && {answerOffset}), class: run.rule.then.class,
		}, {signal}));
}

/**
 * Moves the cache. A transfer that stalls would hold the request until its
 * place expires, past any first-token target; given up in time, the work still
 * begins elsewhere. Only where another attempt may follow: of a request that
 * was given up once already, or whose rule allows no second run, the transfer
 * may take what time the place has.
 */
async function transfer(attempt: Attempt, reservationId: string, options: {kvId: string; bytes: number; placeLeftMs: Milliseconds}): Promise<Result<{bytes: number}, StepFailure>> {
	const {run, services, placement, key} = attempt;
	const {prefill: from, decode: to} = placement;
	const {transferLimits, clock} = services;
	const {kvId, bytes, placeLeftMs} = options;
	const link = {from: from.zone, to: to.zone};
	const startedAt = clock.now();
	const stallMs = attempt.isFirst && run.rule.then.repeatable ? transferLimits.toLimitMs(link, bytes) : Infinity;
	const imported = await runStep(attempt.step, {limitMs: Math.min(placeLeftMs, stallMs), server: to.id}, signal =>
		services.toEngine(to).importKv({
			key, reservationId, fromUrl: from.url, kvId,
		}, {signal}));
	if (imported.isOk()) {
		transferLimits.noteDone(link, bytes, clock.now() - startedAt);
	} else if (imported.error.isTimedOut && stallMs < placeLeftMs) {
		transferLimits.noteGivenUp(link, bytes, clock.now() - startedAt);
		run.account.note('transfer given up', {from: from.id, to: to.id, limitMs: Math.round(stallMs)});
		// The request's own time is not over: what follows must not say that a deadline passed.
		return err({
			...imported.error, kind: 'broken', message: `the transfer from ${from.id} had not ended after ${Math.round(stallMs)} ms`, isTimedOut: false,
		});
	}

	return imported;
}

/** The attempt's steps, straight down. */
async function runSteps(attempt: Attempt, notePrefilled: (result: PrefillResult) => void): Promise<AttemptEnd> {
	const {run, services, placement, key} = attempt;
	const {now} = services.clock;
	const {prefill: prefillServer, decode: decodeServer} = placement;
	const reservedAt = now();
	const reservation = await reserve(attempt);
	if (reservation.isErr()) {
		return toFailed(attempt, 'reserve', decodeServer, reservation.error);
	}

	// A prefill that ends after its place in decode memory has expired has nowhere to go.
	const placeLeft = () => Math.min(attempt.timeLeft(), reservedAt + reservation.value.expiresInMs - now());
	services.placement.noteReserved(placement, now());
	run.account.note('reserved', {server: decodeServer.id, expiresInMs: reservation.value.expiresInMs});
	const prefilled = await prefill(attempt, placeLeft());
	if (prefilled.isErr()) {
		return toFailed(attempt, 'prefill', prefillServer, prefilled.error);
	}

	const {kvId, promptTokens, cachedTokens, bytes} = prefilled.value;
	notePrefilled(prefilled.value);
	services.placement.notePrefilled(placement, prefilled.value, now());
	run.account.note('prefilled', {
		server: prefillServer.id, promptTokens, cachedTokens, bytes,
	});
	const imported = await transfer(attempt, reservation.value.reservationId, {kvId, bytes, placeLeftMs: placeLeft()});
	if (imported.isErr()) {
		const isSource = imported.error.reason === 'source-failed' || imported.error.kind === 'gone';
		return toFailed(attempt, 'transfer', isSource ? prefillServer : decodeServer, imported.error);
	}

	run.account.note('transferred', {bytes: imported.value.bytes});
	const opened = await openStream(attempt, reservation.value.reservationId);
	if (opened.isErr()) {
		return toFailed(attempt, 'decode', decodeServer, opened.error);
	}

	services.placement.noteFirstToken(placement, now());
	const relayed = await relayStream({
		run,
		services,
		engine: services.toEngine(decodeServer),
		key,
		server: decodeServer.id,
		step: attempt.step,
		stream: opened.value,
		noteTokens(seen) {
			services.placement.noteTokens(placement, seen, now());
		},
	});
	if (relayed.kind === 'failed') {
		return toFailed(attempt, 'relay', decodeServer, {...relayed.failure, isTimedOut: false, isUnsent: false});
	}

	return relayed.kind === 'gone' ? relayed : {kind: 'complete', prefill: prefilled.value};
}

function toWasteCause(end: AttemptEnd, run: Run): WasteCause {
	if (end.kind !== 'failed') {
		return run.signal.reason as EndCause | undefined ?? 'caller-gone';
	}

	if (end.failure.kind === 'gone' || end.failure.reason === 'expired') {
		return 'expired';
	}

	return end.step === 'transfer' ? 'transfer' : 'server-lost';
}

/**
 * Runs one attempt. Whatever way it ends but well, every server that may hold
 * something of it is told to let go.
 *
 * @param run - The request.
 * @param services - The program around it.
 * @param placement - Where to run it.
 * @param options - Position of the attempt, from 1, and whether none of the request has failed yet.
 * @returns How it ended.
 */
export async function runAttempt(run: Run, services: RunServices, placement: Placement, options: {attempt: number; isFirst: boolean}): Promise<AttemptEnd> {
	const {attempt: attemptNumber, isFirst} = options;
	const {clock, cancels, tally} = services;
	const key = {requestId: run.id, attempt: attemptNumber, owner: services.toOwner()};
	const attempt: Attempt = {
		run, services, placement, key, step: createStepSignal(run.signal, clock.now), touched: new Set(), timeLeft: () => toTimeLeft(run, clock.now()), isFirst,
	};
	const tokensBefore = run.buffer.offset();
	let prefilled: PrefillResult | undefined;
	run.buffer.startAttempt(attemptNumber);
	services.placement.noteDispatched(placement, clock.now());
	try {
		const end = await runSteps(attempt, result => {
			prefilled = result;
		});
		if (end.kind === 'complete') {
			attempt.touched.clear();
		} else if (prefilled !== undefined && run.buffer.offset() === tokensBefore) {
			tally.prefillWasted(toWasteCause(end, run), prefilled.promptTokens - prefilled.cachedTokens);
		}

		return end;
	} finally {
		attempt.step.close();
		services.placement.noteFinished(placement, clock.now());
		for (const server of attempt.touched) {
			cancels.add(server.id, key);
		}
	}
}
