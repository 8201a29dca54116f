/**
 * One attempt of a passed-on request at servers that keep prefill and decode
 * apart: a place at the decode server first, then the prompt, then the answer.
 * A prompt computed without a place to go is work for nothing.
 */
import {err, ok, type Result} from 'neverthrow';
import {toLimitSignal} from '../../../_lib/to-limit-signal/index.js';
import {limitedBySignal} from '../../../adapters/_lib/dispatch-call/index.js';
import {readAnswer} from '../../../adapters/_lib/read-answer/index.js';
import {type Placement, type PlacementRefusal, type PlacementRefusalReason} from '../../../domain/create-placement/index.js';
import {toReservedTokens} from '../../../domain/to-reserved-tokens/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type EngineFailure} from '../../../ports/engine.js';
import {type ServerId} from '../../../ports/ids.js';
import {type CacheCalls, type CallerWork, type PromptCache} from '../../../ports/server-calls.js';
import {bytesPerKibibyte} from '../../../ports/units.js';
import {type PlainEnd, type PlainFault} from '../send-plain/index.js';
import {type PlainRun} from '../call-plain/_lib/types.js';
import {
	isQuarantined, noteAnswered, sendWhole, takeNotice, timeLeft, toCallHeaders,
} from '../call-plain/_lib/send-step.js';
import {notePlaced} from '../_lib/note-placed.js';

/** Longest answer of a prefill: a name and two numbers. */
const maxPrefillAnswerBytes = 16 * bytesPerKibibyte;

/** Limit of a call that takes a place: it does no work and takes a few milliseconds, so only a server that is lost takes longer. */
const reserveLimitMs: Milliseconds = 300;

/**
 * Part of the reservation's life in which the prompt must be computed. Later the
 * place may be gone, and a server behind a cut would hold the request for as
 * long as its caller waits, though another could still serve it.
 */
const promptShare = 0.75;

/**
 * A prompt may take so many times what was predicted, and this long at least.
 * Predictions miss the prompts that other hosts send at the same moment, each a
 * tenth of a second; one whose answer was lost held its request for the whole
 * share of the reservation, 1.5 s, and made it late for sure.
 */
const promptFactor = 3;
const leastPromptLimitMs: Milliseconds = 500;

/** Life asked for a reservation where servers tell no longest one; prefill and transfer take a fraction of it. */
const defaultReservationMs: Milliseconds = 2000;

function toReservationMs({route}: PlainRun): Milliseconds {
	return route.pool.reservationMs ?? defaultReservationMs;
}

/** Reasons for which a request may wait: room comes back by itself. */
const waitReasons: ReadonlySet<PlacementRefusalReason> = new Set(['no-memory', 'paused']);

export type PairAttempt =
	/** The request, or its prompt, was sent. */
	| {kind: 'called'; server: ServerEntry; ended: PlainEnd; hasRun: boolean}
	/** `bounced`: every decode server that would do is full; `not-placed`: there is none. Nothing was sent. */
	| {kind: 'bounced' | 'not-placed'; refusal: PlacementRefusal};

type Step = {
	run: PlainRun;
	caches: CacheCalls;
	work: CallerWork;
	placement: Placement;
	attempt: number;
};

function toFault({kind, reason, message}: EngineFailure): PlainFault {
	switch (kind) {
		case 'refused':
		case 'gone': {
			return {kind: 'refused', reason: reason ?? 'other', message};
		}

		case 'unreachable':
		case 'aborted': {
			return {kind, message};
		}

		case 'broken':
		case 'invalid': {
			return {kind: 'broken', message};
		}
	}
}

function pick(run: PlainRun, work: CallerWork, exclude: ReadonlySet<ServerId>) {
	const {services} = run.serve;
	const now = services.clock.now();
	return services.placement.pick({
		pool: run.route.pool.name,
		model: work.model ?? run.route.pool.model ?? '',
		version: undefined,
		adapter: undefined,
		promptTokens: work.promptTokens,
		maxTokens: work.maxTokens,
		class: run.route.rule.then.class,
		firstTokenBudgetMs: run.deadline - now,
		exclude,
	}, services.toView()!, now, services.random);
}

/** Asks one decode server for a place. One that announces with it that it leaves gets it back: the answer would break with its end. */
async function askForPlace(run: PlainRun, caches: CacheCalls, decode: ServerEntry): Promise<Result<string, EngineFailure>> {
	const {services} = run.serve;
	const limit = toLimitSignal(Math.min(reserveLimitMs, timeLeft(run)), run.signal);
	const calledAt = services.clock.now();
	const reserved = await caches.reserve(decode, {tokens: toReservedTokens(run.work), ttlMs: toReservationMs(run)}, limit);
	if (reserved.isErr()) {
		const {kind, reason} = reserved.error;
		if (kind === 'refused') {
			noteAnswered(run, {server: decode.id, calledAt, refusal: reason});
		}

		return err(reserved.error);
	}

	const {reservationId} = reserved.value;
	noteAnswered(run, {server: decode.id, calledAt, refusal: undefined});
	if (isInService(run, decode)) {
		return ok(reservationId);
	}

	giveBack(run, 'reservation', {server: decode, call: () => caches.release(decode, reservationId)});
	return err({
		kind: 'refused', reason: 'leaving', server: decode.id, message: 'granted a place and announced that it leaves', retryAfterMs: undefined,
	});
}

/** Asks decode servers for a place, the best first, until one grants it or none is left. */
async function reservePlace(run: PlainRun, caches: CacheCalls, work: CallerWork, attempt: number): Promise<Result<{placement: Placement; reservationId: string}, PairAttempt>> {
	const {services} = run.serve;
	const asked = new Set(run.tried.map(({server}) => server));
	let isFull = false;
	for (;;) {
		const picked = pick(run, work, asked);
		if (picked.isErr()) {
			return err({kind: isFull || waitReasons.has(picked.error.reason) ? 'bounced' : 'not-placed', refusal: picked.error});
		}

		const {decode} = picked.value;
		const placement = notePlaced(run.account, picked.value, {attempt, pool: run.route.pool.name, chosen: [picked.value.prefill.id, decode.id]});
		const reserved = await askForPlace(run, caches, decode);
		if (reserved.isOk()) {
			return ok({placement, reservationId: reserved.value});
		}

		const {kind, reason} = reserved.error;
		const message = kind === 'aborted' && !run.signal.aborted ? 'no answer within the time for a reservation' : reserved.error.message;
		run.account.note('no place', {
			server: decode.id, failure: kind, reason, message,
		});
		if (reason !== 'full') {
			run.log.info('no place', {
				attempt, decodeServer: decode.id, kind, reason: reason ?? message,
			});
		}

		if (run.signal.aborted) {
			return err({
				kind: 'called', server: decode, ended: {kind: 'failed', fault: {kind: 'aborted', message}}, hasRun: false,
			});
		}

		// A limit that this host set is the server's silence.
		services.placement.noteFailure(decode, {kind: kind === 'aborted' ? 'broken' : kind, reason}, services.clock.now());
		asked.add(decode.id);
		isFull ||= reason === 'full';
	}
}

/** Has the prompt computed, and nothing run. */
async function prefill({run, caches, placement}: Step): Promise<Result<PromptCache, PlainFault>> {
	const server = placement.prefill;
	const payload = run.body.open();
	const calledAt = run.serve.services.clock.now();
	const expectedMs = Math.max(leastPromptLimitMs, promptFactor * placement.predictedPrefillMs);
	const limitMs = Math.min(timeLeft(run), promptShare * toReservationMs(run), expectedMs);
	const answer = await readAnswer({
		dispatcher: run.clients.toDispatcher(server),
		origin: server.url,
		method: run.exchange.method,
		path: run.exchange.target,
		headers: toCallHeaders(run, server, {kind: 'prefill'}),
		...(payload !== undefined && {payload}),
		headersTimeoutMs: limitedBySignal,
		idleTimeoutMs: limitedBySignal,
		signal: toLimitSignal(limitMs, run.signal),
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
	takeNotice(run, server, {status, headers});
	const reason = run.serve.calls.toRefusal(status, headers);
	noteAnswered(run, {server: server.id, calledAt, refusal: reason});
	if (reason !== undefined) {
		return err({kind: 'refused', reason, message: `status ${status}`});
	}

	if (status !== 200 || !run.serve.calls.isAnswerTo(run.exchange.requestId, headers)) {
		return err({kind: 'invalid', message: `status ${status}, or the answer of another request`});
	}

	const parsed = caches.parsePrefill(text);
	return parsed.map(({kvId}) => ({server, kvId})).mapErr(message => ({kind: 'invalid', message}));
}

/** What a server keeps for this host lapses by itself within a second or two, so one that asks to back off needs no call for it. */
function giveBack(run: PlainRun, what: string, {server, call}: {server: ServerEntry; call: () => ReturnType<CacheCalls['dropCache']>}): void {
	const {services} = run.serve;
	if (services.placement.isPaused(server.id, services.clock.now())) {
		run.log.info('not given back while the server asks to back off', {step: what, server: server.id});
		return;
	}

	void (async () => {
		const done = await call();
		if (done.isErr()) {
			// It lapses by itself within a second or two, so a second try would come too late to matter.
			run.log.info('could not give back', {
				step: what, server: done.error.server, reason: done.error.message,
			});
		}
	})();
}

/** Has the prompt computed where another server than the decode server does it. */
async function computePrompt(step: Step): Promise<Result<PromptCache | undefined, PlainFault>> {
	const {run, placement, work, attempt} = step;
	const {services} = run.serve;
	const {prefill: server, decode} = placement;
	const startedAt = services.clock.now();
	if (server.id === decode.id) {
		return ok(undefined);
	}

	const computed = await prefill(step);
	if (computed.isOk()) {
		const now = services.clock.now();
		services.placement.notePrefilled(placement, {promptTokens: work.promptTokens, cachedTokens: 0, bytes: 0}, now);
		run.account.note('prompt computed', {server: server.id, tookMs: Math.round(now - startedAt)});
		run.log.info('prompt computed', {
			attempt, prefillServer: server.id, decodeServer: decode.id, durationMs: Math.round(now - startedAt), promptTokens: work.promptTokens,
		});
	}

	return computed;
}

/**
 * Whether the server, chosen before the prompt, is still to get new work. A prompt
 * takes up to 1.5 s and a change is known 0.6 s late; a server that leaves serves on
 * for 2 s, so the caller's stream would break with it. Computing the prompt anew
 * elsewhere costs some 0.3 s.
 */
function isInService(run: PlainRun, {id}: ServerEntry): boolean {
	return run.serve.services.toView()?.servers.get(id)?.leaving === false;
}

async function runPlaced(step: Step, reservationId: string): Promise<PairAttempt> {
	const {run, caches, placement} = step;
	const {services} = run.serve;
	const {decode} = placement;
	const computed = await computePrompt(step);
	if (computed.isErr()) {
		giveBack(run, 'reservation', {server: decode, call: () => caches.release(decode, reservationId)});
		return {
			kind: 'called', server: placement.prefill, ended: {kind: 'failed', fault: computed.error}, hasRun: false,
		};
	}

	const cache = computed.value;
	const giveAllBack = () => {
		giveBack(run, 'reservation', {server: decode, call: () => caches.release(decode, reservationId)});
		if (cache !== undefined) {
			giveBack(run, 'cache', {server: cache.server, call: () => caches.dropCache(cache)});
		}
	};

	if (run.signal.aborted) {
		giveAllBack();
		return {
			kind: 'called', server: decode, ended: {kind: 'failed', fault: {kind: 'aborted', message: 'ended while its prompt was computed'}}, hasRun: false,
		};
	}

	if (isQuarantined(run)) {
		giveAllBack();
		return {
			kind: 'called', server: decode, ended: {kind: 'failed', fault: {kind: 'refused', reason: 'other', message: 'quarantined while the prompt was computed'}}, hasRun: false,
		};
	}

	if (services.placement.isPaused(decode.id, services.clock.now())) {
		giveAllBack();
		return {
			kind: 'called', server: decode, ended: {kind: 'failed', fault: {kind: 'refused', reason: 'full', message: 'asked to back off while the prompt was computed'}}, hasRun: false,
		};
	}

	if (!isInService(run, decode)) {
		giveAllBack();
		return {
			kind: 'called', server: decode, ended: {kind: 'failed', fault: {kind: 'refused', reason: 'leaving', message: 'left while the prompt was computed'}}, hasRun: false,
		};
	}

	run.ledger.noteOffered();
	const ended = await sendWhole(run, decode, {
		kind: 'decode', reservationId, cache, lastEventId: run.events?.lastId,
	}, () => {
		services.placement.noteFirstToken(placement, services.clock.now());
	});
	if ((ended.kind === 'failed' || ended.kind === 'cut') && (ended.fault.kind === 'unreachable' || ended.fault.kind === 'refused')) {
		run.ledger.noteNotStarted();
		giveAllBack();
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
	const {services} = run.serve;
	const {work} = run;
	const reserved = await reservePlace(run, caches, work, attempt);
	if (reserved.isErr()) {
		return reserved.error;
	}

	const {placement, reservationId} = reserved.value;
	services.placement.noteDispatched(placement, services.clock.now());
	services.placement.noteReserved(placement, toReservedTokens(work), services.clock.now());
	try {
		return await runPlaced({
			run, caches, work, placement, attempt,
		}, reservationId);
	} finally {
		services.placement.noteFinished(placement, services.clock.now());
	}
}
