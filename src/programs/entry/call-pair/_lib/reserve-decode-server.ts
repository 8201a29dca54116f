/** Reserves memory at a decode server before the prefill. */
import {err, ok, type Result} from 'neverthrow';
import {createTimeoutSignal} from '../../../../_lib/create-timeout-signal/index.js';
import {type Placement, type PlacementRefusalReason} from '../../../../domain/create-placement/index.js';
import {toReservedTokens} from '../../../../domain/to-reserved-tokens/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type ServerEntry} from '../../../../ports/config.js';
import {type EngineFailure} from '../../../../ports/engine.js';
import {type ServerId} from '../../../../ports/ids.js';
import {type CacheCalls} from '../../../../ports/server-calls.js';
import {
	noteAnswered, noteLinkAnswer, noteLinkEnd, toRemainingMs,
} from '../../call-plain/_lib/send-step.js';
import {type PlainRun} from '../../call-plain/_lib/types.js';
import {recordPlacement} from '../../_lib/record-placement.js';
import {hasKeptCache} from './kept-cache.js';
import {releaseHeld} from './release-held.js';
import {isInService} from './is-in-service.js';
import {type PairAttempt} from './types.js';

/** Timeout of a reservation. The call takes a few milliseconds as it does no work, so only a lost server takes longer. */
const reserveTimeoutMs: Milliseconds = 300;

/** Lifetime requested for a reservation if the pool names no maximum; prefill and transfer take a fraction of it. */
const defaultReservationMs: Milliseconds = 2000;

/**
 * @param run - The request.
 * @returns Lifetime to request for its reservation, milliseconds.
 */
export function toReservationMs({route}: PlainRun): Milliseconds {
	return route.pool.reservationMs ?? defaultReservationMs;
}

/** Reasons after which a request may wait, because capacity is freed again as other requests end. */
const retryableReasons: ReadonlySet<PlacementRefusalReason> = new Set(['no-memory', 'paused', 'limited']);

function pick(run: PlainRun, exclude: ReadonlySet<ServerId>) {
	const {work} = run;
	const {services} = run.ctx;
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
		origin: run.stream.origin(),
		isOneCall: run.isDecodeOnly || hasKeptCache(run),
	}, services.toView()!, now, services.random);
}

/** Requests a reservation at one decode server. If the server announces in its answer that it is leaving, the reservation is released, because the stream would break when the server stops. */
async function requestReservation(run: PlainRun, caches: CacheCalls, decode: ServerEntry): Promise<Result<string, EngineFailure>> {
	const {services} = run.ctx;
	await run.exchange.readClose();
	const limit = createTimeoutSignal(Math.min(reserveTimeoutMs, toRemainingMs(run)), run.signal);
	const calledAt = services.clock.now();
	const link = run.ctx.reach?.openCall(run.route.pool.name);
	const reserved = await caches.reserve(decode, {tokens: toReservedTokens(run.work), ttlMs: toReservationMs(run)}, limit);
	if (reserved.isOk() || reserved.error.kind === 'refused') {
		noteLinkAnswer(run, link);
	} else {
		noteLinkEnd(run, link);
	}

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

	releaseHeld(run, 'reservation', {server: decode, call: () => caches.release(decode, reservationId)});
	return err({
		kind: 'refused', reason: 'leaving', server: decode.id, message: 'granted a reservation and announced that it is leaving', retryAfterMs: undefined,
	});
}

/** Calls of a request at its decode server: the reservation and the run. */
const decodeCalls = 2;

/** Takes room for the calls of an attempt within the limits that its servers state; returns the server that has none. */
async function findHeldBack(run: PlainRun, {prefill, decode}: Placement): Promise<ServerEntry | undefined> {
	const {serverLimits} = run.ctx;
	if (!await serverLimits.take(decode, decodeCalls)) {
		return decode;
	}

	const isPrefilled = prefill.id === decode.id || hasKeptCache(run);
	if (isPrefilled || await serverLimits.take(prefill, 1)) {
		return undefined;
	}

	serverLimits.giveBack(decode, decodeCalls);
	return prefill;
}

/**
 * Requests a reservation from decode servers, the best first, until one grants it
 * or none is left.
 *
 * @param run - The admitted request.
 * @param caches - Reservation and cache calls of the servers.
 * @param attempt - Number of the attempt, from 1.
 * @returns The reservation, or the end of the attempt.
 */
export async function reserveDecodeServer(run: PlainRun, caches: CacheCalls, attempt: number): Promise<Result<{placement: Placement; reservationId: string}, PairAttempt>> {
	const {services} = run.ctx;
	const asked = new Set(run.tried.map(({server}) => server));
	let isFull = false;
	for (;;) {
		const picked = pick(run, asked);
		if (picked.isErr()) {
			return err({kind: isFull || retryableReasons.has(picked.error.reason) ? 'bounced' : 'not-placed', refusal: picked.error});
		}

		const {decode} = picked.value;
		const heldBack = await findHeldBack(run, picked.value);
		if (heldBack !== undefined) {
			run.account.addStage('held back', {server: heldBack.id});
			continue;
		}

		const placement = recordPlacement(run.account, picked.value, {attempt, pool: run.route.pool.name, chosen: [picked.value.prefill.id, decode.id]});
		const reserved = await requestReservation(run, caches, decode);
		if (reserved.isOk()) {
			return ok({placement, reservationId: reserved.value});
		}

		const {kind, reason} = reserved.error;
		const message = kind === 'aborted' && !run.signal.aborted ? 'no answer within the timeout of a reservation' : reserved.error.message;
		run.account.addStage('no place', {
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

		// A call that this host's timeout aborted counts as broken, because the server did not answer.
		services.placement.noteFailure(decode, {kind: kind === 'aborted' ? 'broken' : kind, reason}, services.clock.now());
		asked.add(decode.id);
		isFull ||= reason === 'full';
		if (kind !== 'refused' && !isFull) {
			run.unreached.add(decode.id);
		}
	}
}
