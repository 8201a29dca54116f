/**
 * One attempt of a passed-on request at servers that keep prefill and decode
 * apart: a place at the decode server first, then the prompt, then the answer.
 * A prompt computed without a place to go is work for nothing.
 */
import {err, ok, type Result} from 'neverthrow';
import {createTimeoutSignal} from '../../../_lib/create-timeout-signal/index.js';
import {limitedBySignal} from '../../../adapters/_lib/dispatch-call/index.js';
import {readAnswer} from '../../../adapters/_lib/read-answer/index.js';
import {type Placement} from '../../../domain/create-placement/index.js';
import {toReservedTokens} from '../../../domain/to-reserved-tokens/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type CacheCalls, type RequestHints, type PromptCache} from '../../../ports/server-calls.js';
import {bytesPerKibibyte} from '../../../ports/units.js';
import {type PlainFault} from '../send-plain/index.js';
import {type PlainRun} from '../call-plain/_lib/types.js';
import {
	isQuarantined, noteAnswered, sendRequest, handleAnswerNotice, toRemainingMs, toCallHeaders,
} from '../call-plain/_lib/send-step.js';
import {releaseHeld} from './_lib/release-held.js';
import {isInService} from './_lib/is-in-service.js';
import {reserveDecodeServer, toReservationMs} from './_lib/reserve-decode-server.js';
import {type PairAttempt} from './_lib/types.js';

export {type PairAttempt} from './_lib/types.js';

/** Longest answer of a prefill: a name and two numbers. */
const maxPrefillAnswerBytes = 16 * bytesPerKibibyte;

/**
 * Part of the reservation's life in which the prompt must be computed. Later the
 * place may be gone, and a server behind a cut would hold the request for as
 * long as its caller waits, though another could still serve it.
 */
const prefillTimeShare = 0.75;

/**
 * A prompt may take so many times what was predicted, and this long at least.
 * Predictions miss the prompts that other hosts send at the same moment, each a
 * tenth of a second; one whose answer was lost held its request for the whole
 * share of the reservation, 1.5 s, and made it late for sure.
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

/** Has the prompt computed, and nothing run. */
async function prefill({run, caches, placement}: Step): Promise<Result<PromptCache, PlainFault>> {
	const server = placement.prefill;
	const payload = run.body.open();
	const calledAt = run.ctx.services.clock.now();
	const expectedMs = Math.max(minPrefillTimeoutMs, prefillTimeoutFactor * placement.predictedPrefillMs);
	const limitMs = Math.min(toRemainingMs(run), prefillTimeShare * toReservationMs(run), expectedMs);
	const answer = await readAnswer({
		dispatcher: run.clients.toDispatcher(server),
		origin: server.url,
		method: run.exchange.method,
		path: run.exchange.target,
		headers: toCallHeaders(run, server, {kind: 'prefill'}),
		...(payload !== undefined && {payload}),
		headersTimeoutMs: limitedBySignal,
		idleTimeoutMs: limitedBySignal,
		signal: createTimeoutSignal(limitMs, run.signal),
	}, maxPrefillAnswerBytes);
	if (answer.isErr()) {
		const {kind, message} = answer.error;
		const isSilent = kind === 'aborted' && !run.signal.aborted;
		if (isSilent) {
			return err({kind: 'broken', message: `no prompt computed within ${Math.round(limitMs)} ms`});
		}

		return err(answer.error.kind === 'too-large' ? {kind: 'invalid', message} : answer.error);
	}

	const {status, headers, text} = answer.value;
	handleAnswerNotice(run, server, {status, headers});
	const reason = run.ctx.calls.toRefusal(status, headers);
	noteAnswered(run, {server: server.id, calledAt, refusal: reason});
	if (reason !== undefined) {
		return err({kind: 'refused', reason, message: `status ${status}`});
	}

	if (status !== 200 || !run.ctx.calls.isAnswerTo(run.exchange.requestId, headers)) {
		return err({kind: 'invalid', message: `status ${status}, or the answer of another request`});
	}

	const parsed = caches.parsePrefill(text);
	return parsed.map(({kvId}) => ({server, kvId})).mapErr(message => ({kind: 'invalid', message}));
}

/** Has the prompt computed where another server than the decode server does it. */
async function computePrompt(step: Step): Promise<Result<PromptCache | undefined, PlainFault>> {
	const {run, placement, work, attempt} = step;
	const {services} = run.ctx;
	const {prefill: server, decode} = placement;
	const startedAt = services.clock.now();
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

async function runReserved(step: Step, reservationId: string): Promise<PairAttempt> {
	const {run, caches, placement} = step;
	const {services} = run.ctx;
	const {decode} = placement;
	const computed = await computePrompt(step);
	if (computed.isErr()) {
		releaseHeld(run, 'reservation', {server: decode, call: () => caches.release(decode, reservationId)});
		return {
			kind: 'called', server: placement.prefill, ended: {kind: 'failed', fault: computed.error}, hasRun: false,
		};
	}

	const cache = computed.value;
	const releaseAll = () => {
		releaseHeld(run, 'reservation', {server: decode, call: () => caches.release(decode, reservationId)});
		if (cache !== undefined) {
			releaseHeld(run, 'cache', {server: cache.server, call: () => caches.dropCache(cache)});
		}
	};

	if (run.signal.aborted) {
		releaseAll();
		return {
			kind: 'called', server: decode, ended: {kind: 'failed', fault: {kind: 'aborted', message: 'ended while its prompt was computed'}}, hasRun: false,
		};
	}

	if (isQuarantined(run)) {
		releaseAll();
		return {
			kind: 'called', server: decode, ended: {kind: 'failed', fault: {kind: 'refused', reason: 'other', message: 'quarantined while the prompt was computed'}}, hasRun: false,
		};
	}

	if (services.placement.isPaused(decode.id, services.clock.now())) {
		releaseAll();
		return {
			kind: 'called', server: decode, ended: {kind: 'failed', fault: {kind: 'refused', reason: 'full', message: 'asked to back off while the prompt was computed'}}, hasRun: false,
		};
	}

	if (!isInService(run, decode)) {
		releaseAll();
		return {
			kind: 'called', server: decode, ended: {kind: 'failed', fault: {kind: 'refused', reason: 'leaving', message: 'left while the prompt was computed'}}, hasRun: false,
		};
	}

	run.ledger.noteOffered();
	const ended = await sendRequest(run, decode, {
		kind: 'decode', reservationId, cache, lastEventId: run.events?.lastId,
	}, () => {
		services.placement.noteFirstToken(placement, services.clock.now());
	});
	if ((ended.kind === 'failed' || ended.kind === 'cut') && (ended.fault.kind === 'unreachable' || ended.fault.kind === 'refused')) {
		run.ledger.noteNotStarted();
		releaseAll();
	}

	return {
		kind: 'called', server: decode, ended, hasRun: true,
	};
}

/**
 * Makes one attempt.
 *
 * @param run - The admitted request; its body is whole.
 * @param caches - Calls of the servers.
 * @param attempt - Number of the attempt, from 1.
 * @returns What became of it.
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
