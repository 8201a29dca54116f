/**
 * One attempt of a relayed request at separate prefill and decode servers: first a
 * reservation at the decode server, then the prefill, then the decode. Without a
 * reservation, the result of the prefill might find no memory at a decode server.
 */
import {err, ok, type Result} from 'neverthrow';
import {createTimeoutSignal} from '../../../_lib/create-timeout-signal/index.js';
import {limitedBySignal} from '../../../adapters/_lib/dispatch-call/index.js';
import {readAnswer} from '../../../adapters/_lib/read-answer/index.js';
import {type Placement} from '../../../domain/create-placement/index.js';
import {toReservedTokens} from '../../../domain/to-reserved-tokens/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type CacheCalls, type RequestHints, type PromptCache} from '../../../ports/server-calls.js';
import {bytesPerKibibyte} from '../../../ports/units.js';
import {type PlainFault} from '../send-plain/index.js';
import {type PlainRun} from '../call-plain/_lib/types.js';
import {
	findRunQuarantine, noteAnswered, noteLinkAnswer, noteLinkEnd, sendRequest, handleAnswerNotice, toAnswerOwner, toRemainingMs, toCallHeaders, toRequestDispatcher,
} from '../call-plain/_lib/send-step.js';
import {mayHaveStarted} from '../call-plain/_lib/decide-retry.js';
import {toFailedRunEnd} from '../call-plain/_lib/to-run-end.js';
import {noteRunEnd} from '../_lib/quarantine.js';
import {dropKeptCache, isCacheLeft, takeKeptCache} from './_lib/kept-cache.js';
import {releaseHeld} from './_lib/release-held.js';
import {isInService} from './_lib/is-in-service.js';
import {reserveDecodeServer, toReservationMs} from './_lib/reserve-decode-server.js';
import {type PairAttempt} from './_lib/types.js';

export {dropKeptCache} from './_lib/kept-cache.js';
export {type PairAttempt} from './_lib/types.js';

/** Maximum size of a prefill's answer, which has a handle and a few numbers. */
const maxPrefillAnswerBytes = 16 * bytesPerKibibyte;

/**
 * Fraction of the reservation's lifetime in which the prefill must end. Later the
 * reservation may have expired. Without this limit, a prefill server behind a
 * network partition would hold the request for as long as its caller waits, while
 * another server could still serve it.
 */
const prefillTimeShare = 0.75;

/**
 * Timeout of a prefill as a multiple of the predicted duration, and its minimum.
 * Predictions do not include prefills that other hosts send at the same time, each
 * of which adds about 0.1 s. Without this timeout, a prefill whose answer was lost
 * held the request for 1.5 s, its whole fraction of the reservation, and the
 * request missed its target.
 */
const prefillTimeoutFactor = 3;
const minPrefillTimeoutMs: Milliseconds = 500;

type Step = {
	run: PlainRun;
	caches: CacheCalls;
	work: RequestHints;
	placement: Placement;
	attempt: number;
};

/** Calls the prefill server, and records whether it may have ended under the request. */
async function prefill(step: Step): Promise<Result<PromptCache, PlainFault>> {
	const {run, placement: {prefill: server}} = step;
	const startedAt = run.ctx.services.clock.now();
	const computed = await callPrefill(step);
	if (computed.isErr()) {
		noteRunEnd({
			fingerprint: run.fingerprint, parts: run.parts, server: server.id, startedAt, end: toFailedRunEnd(computed.error),
		}, run.ctx);
	}

	return computed;
}

async function callPrefill({run, caches, placement}: Step): Promise<Result<PromptCache, PlainFault>> {
	const server = placement.prefill;
	await run.exchange.readClose();
	const payload = run.body.open();
	const calledAt = run.ctx.services.clock.now();
	const expectedMs = Math.max(minPrefillTimeoutMs, prefillTimeoutFactor * placement.predictedPrefillMs);
	const limitMs = Math.min(toRemainingMs(run), prefillTimeShare * toReservationMs(run), expectedMs);
	const link = run.ctx.reach?.openCall(run.route.pool.name);
	const answer = await readAnswer({
		dispatcher: toRequestDispatcher(run, server),
		origin: server.url,
		method: run.exchange.method,
		path: run.exchange.target,
		headers: toCallHeaders(run, server, {kind: 'prefill'}),
		...(payload !== undefined && {payload}),
		headersTimeoutMs: limitedBySignal,
		idleTimeoutMs: limitedBySignal,
		signal: createTimeoutSignal(limitMs, run.signal),
	}, maxPrefillAnswerBytes, {toOwner: (status, headers) => toAnswerOwner(run, 'named', {status, headers})});
	if (answer.isErr()) {
		const {error} = answer;
		if (error.kind === 'foreign') {
			noteLinkAnswer(run, link);
			return err({kind: 'invalid', message: error.message});
		}

		noteLinkEnd(run, link);
		const isSilent = error.kind === 'aborted' && !run.signal.aborted;
		if (isSilent) {
			return err({kind: 'broken', message: `the prefill did not end within ${Math.round(limitMs)} ms`});
		}

		return err(error.kind === 'too-large' ? {kind: 'invalid', message: error.message} : error);
	}

	noteLinkAnswer(run, link);
	const {status, headers, text} = answer.value;
	handleAnswerNotice(run, server, {status, headers, calledAt});
	const reason = run.ctx.calls.toRefusal(status, headers);
	noteAnswered(run, {server: server.id, calledAt, refusal: reason});
	if (reason !== undefined) {
		return err({kind: 'refused', reason, message: `status ${status}`});
	}

	if (status !== 200) {
		return err({kind: 'invalid', message: `status ${status}`});
	}

	const parsed = caches.parsePrefill(text);
	return parsed.map(({kvId}) => ({server, kvId, computedAt: run.ctx.services.clock.now()})).mapErr(message => ({kind: 'invalid', message}));
}

/** Runs the prefill, unless an earlier attempt did it or the decode server is to do it as part of its own call. */
async function computePrompt(step: Step): Promise<Result<PromptCache | undefined, PlainFault>> {
	const {run, placement, work, attempt} = step;
	const {services} = run.ctx;
	const {prefill: server, decode} = placement;
	const startedAt = services.clock.now();
	const kept = takeKeptCache(run);
	if (kept !== undefined) {
		run.log.info('prompt cache reused', {
			attempt, prefillServer: kept.server.id, decodeServer: decode.id, ageMs: Math.round(startedAt - kept.computedAt),
		});
		return ok(kept);
	}

	if (server.id === decode.id) {
		return ok(undefined);
	}

	const computed = await prefill(step);
	if (computed.isOk()) {
		const now = services.clock.now();
		services.placement.notePrefilled(placement, {promptTokens: work.promptTokens, cachedTokens: 0, bytes: 0}, now);
		run.account.addStage('prompt computed', {server: server.id, tookMs: Math.round(now - startedAt)});
		run.log.info('prompt computed', {
			attempt, prefillServer: server.id, decodeServer: decode.id, durationMs: Math.round(now - startedAt), promptTokens: work.promptTokens,
		});
	}

	return computed;
}

/** Finds what speaks against the reserved decode server after the prefill, and whether the cache is kept for another one. */
function findObstacle(run: PlainRun, decode: ServerEntry): {fault: PlainFault; isKept: boolean} | undefined {
	const {services} = run.ctx;
	if (run.signal.aborted) {
		return {fault: {kind: 'aborted', message: 'the request was aborted during its prefill'}, isKept: false};
	}

	if (services.placement.isPaused(decode.id, services.clock.now())) {
		return {fault: {kind: 'refused', reason: 'full', message: 'the decode server asked to back off during the prefill'}, isKept: true};
	}

	return isInService(run, decode)
		? undefined
		: {fault: {kind: 'refused', reason: 'leaving', message: 'the decode server left during the prefill'}, isKept: true};
}

async function runReserved(step: Step, reservationId: string): Promise<PairAttempt> {
	const {run, caches, placement} = step;
	const {services} = run.ctx;
	const {decode} = placement;
	const releaseReservation = () => {
		releaseHeld(run, 'reservation', {server: decode, call: () => caches.release(decode, reservationId)});
	};

	const causeBefore = await findRunQuarantine(run);
	if (causeBefore !== undefined) {
		releaseReservation();
		return {kind: 'quarantined', cause: causeBefore};
	}

	const computed = await computePrompt(step);
	if (computed.isErr()) {
		releaseReservation();
		return {
			kind: 'called', server: placement.prefill, ended: {kind: 'failed', fault: computed.error}, hasRun: false,
		};
	}

	const cache = computed.value;
	/** Releases the reservation, and keeps the cache for the next attempt or frees it. */
	const endUnused = ({isKept}: {isKept: boolean}) => {
		releaseReservation();
		run.kept = cache;
		if (!isKept) {
			dropKeptCache(run);
		}
	};

	const causeAfter = await findRunQuarantine(run);
	if (causeAfter !== undefined) {
		endUnused({isKept: false});
		return {kind: 'quarantined', cause: causeAfter};
	}

	const obstacle = findObstacle(run, decode);
	if (obstacle !== undefined) {
		const {fault, isKept} = obstacle;
		endUnused({isKept});
		return {
			kind: 'called', server: decode, ended: {kind: 'failed', fault}, hasRun: false,
		};
	}

	run.ledger.noteOffered();
	const ended = await sendRequest(run, decode, {
		kind: 'decode', reservationId, cache, lastEventId: run.events?.lastId,
	}, () => {
		services.placement.noteFirstToken(placement, services.clock.now());
	});
	if ((ended.kind === 'failed' || ended.kind === 'cut') && !mayHaveStarted(ended.fault)) {
		run.ledger.noteNotStarted();
		endUnused({isKept: isCacheLeft(ended.fault)});
	}

	return {
		kind: 'called', server: decode, ended, hasRun: true,
	};
}

/**
 * Makes one attempt at a pair of servers.
 *
 * @param run - The admitted request, with its whole body in memory.
 * @param caches - Reservation and cache calls of the servers.
 * @param attempt - Number of the attempt, from 1.
 * @returns How the attempt ended.
 */
export async function callPair(run: PlainRun, caches: CacheCalls, attempt: number): Promise<PairAttempt> {
	const {services} = run.ctx;
	const {work} = run;
	const reserved = await reserveDecodeServer(run, caches, attempt);
	if (reserved.isErr()) {
		return reserved.error;
	}

	const {placement, reservationId} = reserved.value;
	services.placement.noteDispatched(placement, services.clock.now());
	services.placement.noteReserved(placement, toReservedTokens(work), services.clock.now());
	try {
		return await runReserved({
			run, caches, work, placement, attempt,
		}, reservationId);
	} finally {
		services.placement.noteFinished(placement, services.clock.now());
	}
}
