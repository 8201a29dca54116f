/** A place at a decode server, before the prompt is computed. */
import {err, ok, type Result} from 'neverthrow';
import {createTimeoutSignal} from '../../../../_lib/create-timeout-signal/index.js';
import {type Placement, type PlacementRefusalReason} from '../../../../domain/create-placement/index.js';
import {toReservedTokens} from '../../../../domain/to-reserved-tokens/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type ServerEntry} from '../../../../ports/config.js';
import {type EngineFailure} from '../../../../ports/engine.js';
import {type ServerId} from '../../../../ports/ids.js';
import {type CacheCalls} from '../../../../ports/server-calls.js';
import {noteAnswered, toRemainingMs} from '../../call-plain/_lib/send-step.js';
import {type PlainRun} from '../../call-plain/_lib/types.js';
import {recordPlacement} from '../../_lib/record-placement.js';
import {releaseHeld} from './release-held.js';
import {isInService} from './is-in-service.js';
import {type PairAttempt} from './types.js';

/** Limit of a call that takes a place: it does no work and takes a few milliseconds, so only a server that is lost takes longer. */
const reserveTimeoutMs: Milliseconds = 300;

/** Life asked for a reservation where servers tell no longest one; prefill and transfer take a fraction of it. */
const defaultReservationMs: Milliseconds = 2000;

/**
 * @param run - The request.
 * @returns Life of a reservation that is asked for it, milliseconds.
 */
export function toReservationMs({route}: PlainRun): Milliseconds {
	return route.pool.reservationMs ?? defaultReservationMs;
}

/** Reasons for which a request may wait: room comes back by itself. */
const retryableReasons: ReadonlySet<PlacementRefusalReason> = new Set(['no-memory', 'paused']);

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
		isOneCall: run.isDecodeOnly,
	}, services.toView()!, now, services.random);
}

/** Asks one decode server for a place. One that announces with it that it leaves gets it back: the answer would break with its end. */
async function requestReservation(run: PlainRun, caches: CacheCalls, decode: ServerEntry): Promise<Result<string, EngineFailure>> {
	const {services} = run.ctx;
	const limit = createTimeoutSignal(Math.min(reserveTimeoutMs, toRemainingMs(run)), run.signal);
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

	releaseHeld(run, 'reservation', {server: decode, call: () => caches.release(decode, reservationId)});
	return err({
		kind: 'refused', reason: 'leaving', server: decode.id, message: 'granted a place and announced that it leaves', retryAfterMs: undefined,
	});
}

/**
 * Asks decode servers for a place, the best first, until one grants it or none is left.
 *
 * @param run - The admitted request.
 * @param caches - Calls of the servers.
 * @param attempt - Number of the attempt, from 1.
 * @returns The place, or why there is none.
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
		const placement = recordPlacement(run.account, picked.value, {attempt, pool: run.route.pool.name, chosen: [picked.value.prefill.id, decode.id]});
		const reserved = await requestReservation(run, caches, decode);
		if (reserved.isOk()) {
			return ok({placement, reservationId: reserved.value});
		}

		const {kind, reason} = reserved.error;
		const message = kind === 'aborted' && !run.signal.aborted ? 'no answer within the time for a reservation' : reserved.error.message;
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

		// A limit that this host set is the server's silence.
		services.placement.noteFailure(decode, {kind: kind === 'aborted' ? 'broken' : kind, reason}, services.clock.now());
		asked.add(decode.id);
		isFull ||= reason === 'full';
	}
}
