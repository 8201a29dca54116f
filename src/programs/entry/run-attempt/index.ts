/**
 * One attempt of a request: reserve, prefill, transfer, decode, relay.
 */
import {toStreamOrigin} from '../../../domain/create-stream-binding/index.js';
import {type Placement} from '../../../domain/create-placement/index.js';
import {type DecodeChunk, type PrefillResult} from '../../../ports/engine.js';
import {createStepSignal} from '../_lib/step.js';
import {
	type EndCause, type Run, type RunServices, type WasteCause,
} from '../_lib/types.js';
import {relayStream, type RelayEnd} from '../relay-stream/index.js';
import {
	toFailed, toRemainingMs, type Attempt, type AttemptEnd,
} from './_lib/attempt.js';
import {openStream, prefill, reserve} from './_lib/call-engines.js';
import {transferCache} from './_lib/transfer-cache.js';

export {type AttemptEnd, type AttemptFailure, type AttemptStep} from './_lib/attempt.js';

/** Relays the open stream to the caller. */
async function relay({run, services, placement, key, step}: Attempt, stream: AsyncIterable<DecodeChunk>): Promise<RelayEnd> {
	const {decode} = placement;
	return relayStream({
		run,
		services,
		engine: services.toEngine(decode),
		key,
		server: decode.id,
		origin: toStreamOrigin(decode),
		step,
		stream,
		noteTokens(seen) {
			services.placement.noteTokens(placement, seen, services.clock.now());
		},
	});
}

/** Runs the steps of an attempt in order. */
async function runSteps(attempt: Attempt, notePrefilled: (result: PrefillResult) => void): Promise<AttemptEnd> {
	const {run, services, placement} = attempt;
	const {now} = services.clock;
	const {prefill: prefillServer, decode: decodeServer} = placement;
	const reservedAt = now();
	const reservation = await reserve(attempt);
	if (reservation.isErr()) {
		return toFailed(attempt, 'reserve', decodeServer, reservation.error);
	}

	const {reservationId, expiresInMs} = reservation.value;
	// The result of a prefill that ends after its slot has expired could not be used.
	const toSlotRemainingMs = () => Math.min(attempt.toRemainingMs(), reservedAt + expiresInMs - now());
	services.placement.noteReserved(placement, placement.promptTokens + placement.maxTokens, now());
	run.account.addStage('reserved', {server: decodeServer.id, expiresInMs});
	const prefilled = await prefill(attempt, toSlotRemainingMs());
	if (prefilled.isErr()) {
		return toFailed(attempt, 'prefill', prefillServer, prefilled.error);
	}

	const {kvId, promptTokens, cachedTokens, bytes} = prefilled.value;
	notePrefilled(prefilled.value);
	services.placement.notePrefilled(placement, prefilled.value, now());
	run.account.addStage('prefilled', {
		server: prefillServer.id, promptTokens, cachedTokens, bytes,
	});
	const imported = await transferCache(attempt, {
		reservationId, kvId, bytes, slotRemainingMs: toSlotRemainingMs(),
	});
	if (imported.isErr()) {
		const isSource = imported.error.reason === 'source-failed' || imported.error.kind === 'gone';
		return toFailed(attempt, 'transfer', isSource ? prefillServer : decodeServer, imported.error);
	}

	run.account.addStage('transferred', {bytes: imported.value.bytes});
	const opened = await openStream(attempt, reservationId);
	if (opened.isErr()) {
		return toFailed(attempt, 'decode', decodeServer, opened.error);
	}

	services.placement.noteFirstToken(placement, now());
	const relayed = await relay(attempt, opened.value);
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
 * Runs one attempt. Unless it completes, the attempt is cancelled on every server
 * that may hold state of it.
 *
 * @param run - The request.
 * @param services - Services of the entry.
 * @param placement - Servers to run it on.
 * @param options - Number of the attempt, from 1, and whether no attempt of the request has failed yet.
 * @returns How the attempt ended.
 */
export async function runAttempt(run: Run, services: RunServices, placement: Placement, options: {attempt: number; isFirst: boolean}): Promise<AttemptEnd> {
	const {attempt: attemptNumber, isFirst} = options;
	const {clock, cancels, runMetrics} = services;
	const key = {requestId: run.id, attempt: attemptNumber, owner: services.toOwner()};
	const attempt: Attempt = {
		run, services, placement, key, step: createStepSignal(run.signal, clock.now), serversToRelease: new Set(), toRemainingMs: () => toRemainingMs(run, clock.now()), isFirst,
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
			attempt.serversToRelease.clear();
		} else if (prefilled !== undefined && run.buffer.offset() === tokensBefore) {
			runMetrics.countWastedPrefill(toWasteCause(end, run), prefilled.promptTokens - prefilled.cachedTokens);
		}

		return end;
	} finally {
		attempt.step.close();
		services.placement.noteFinished(placement, clock.now());
		for (const server of attempt.serversToRelease) {
			cancels.add(server.id, key);
		}
	}
}
