/** Records the progress and outcome of this host's requests, from which later picks learn. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type EngineRefusalReason, type PrefillResult} from '../../../ports/engine.js';
import {type ServerId} from '../../../ports/ids.js';
import {type ServerCooldowns} from '../../create-server-cooldowns/index.js';
import {type LoadEstimate} from '../../create-load-estimate/index.js';
import {type PrefixMap} from '../../create-prefix-map/index.js';
import {type PrefillThroughput} from '../../create-prefill-throughput/index.js';
import {type SharedLoads} from '../../create-shared-loads/index.js';
import {type ObservedTokens, type InterTokenLatency} from '../../create-inter-token-latency/index.js';
import {type SplitEstimate} from '../../create-split-estimate/index.js';
import {type HealthSubject, type ServerHealth} from '../../create-server-health/index.js';
import {type AnswerLengths} from './create-answer-lengths.js';
import {type Eligibility} from './create-eligibility.js';
import {type Placement, type PlainPlacement, type ServerFailure} from './types.js';

type Progress = {
	stage: 'prefill' | 'transfer' | 'decode';
	dispatchedAt: Milliseconds;
	prefilledAt: Milliseconds;
	/** Size and time of the reservation that the decode server granted. */
	reserved: {tokens: number; at: Milliseconds} | undefined;
	/** Answer tokens received so far. */
	tokens: number;
	/** Whether the prefill server was idle when the request was sent, as far as this host knows. */
	wasServerIdle: boolean;
};

/** Moving averages that picks use, shared by all pools of this host. */
export type LearnedValues = {
	kvBytesPerToken: number;
	/** Mean time for which a request holds its decode slot. */
	holdMs: Milliseconds;
};

export type FeedbackOptions = {
	loads: LoadEstimate;
	health: ServerHealth;
	eligibility: Eligibility;
	prefixes: PrefixMap;
	tokenLatency: InterTokenLatency;
	prefillThroughput: PrefillThroughput;
	split: SplitEstimate;
	readPeerLoad: SharedLoads['read'];
	lengths: AnswerLengths;
	learned: LearnedValues;
	tokensPerBlock: number;
	cooldowns: ServerCooldowns;
	toSubject: (entry: ServerEntry) => HealthSubject;
	/** Called with the decode server of each pair just before the pair is used. */
	noteSent: (server: ServerEntry, now: Milliseconds) => void;
};

/** Weight of the newest request in the moving averages. */
const gain = 0.05;

/** Lower bound for predictions in the slowness ratio, milliseconds; shorter ones are noise. */
const minPredictedMs = 20;

/**
 * Queue, in milliseconds of work, below which a prefill server that refuses as full is not really full. A prefill
 * server accepts a dozen prompts or more at once, about a second of work.
 */
const minFullQueueMs: Milliseconds = 300;

const toSlowness = (tookMs: Milliseconds, predictedMs: Milliseconds): number =>
	Math.min(100, Math.max(0, tookMs) / Math.max(minPredictedMs, predictedMs));

/**
 * Creates the functions that record what happens to placements.
 *
 * @param options - Records to update.
 * @returns The `note…` functions of a placement; each is idempotent per placement and stage.
 */
export const createFeedback = ({
	loads, health, eligibility, prefixes, tokenLatency, prefillThroughput, split, readPeerLoad, lengths, learned, tokensPerBlock, toSubject, cooldowns, noteSent,
}: FeedbackOptions) => {
	const running = new WeakMap<Placement | PlainPlacement, Progress>();

	const toPrefillTokens = (placement: Placement): number => placement.promptTokens - placement.expectedCachedTokens;

	const endTransfer = (placement: Placement): void => {
		loads.addTransfers(placement.prefill.id, -1);
		loads.addTransfers(placement.decode.id, -1);
	};

	/** Corrections that a refusal implies for the server's last report. */
	const corrections: Partial<Record<EngineRefusalReason, (server: ServerId, now: Milliseconds) => void>> = {
		full: loads.noteFull,
		leaving: eligibility.noteLeaving,
		'wrong-model': eligibility.noteMismatch,
	};

	const isIdle = ({id}: ServerEntry, now: Milliseconds): boolean =>
		loads.ownPromptTokens(id) === 0 && readPeerLoad(id, now).promptTokens === 0;

	/**
	 * Whether a refusal as full comes from a server whose queue is nearly empty. A
	 * prefill server refuses prompts for seconds while it changes its role, and is
	 * published as prefill server until the change is done. With an empty queue it
	 * would win every comparison: under normal load one such server caused 35
	 * requests of its zone to fail, because their retry budget was used up. In
	 * cooldown, the server gets at most one call a second.
	 */
	const isRefusingWhileIdle = (server: ServerEntry, now: Milliseconds): boolean => {
		const queuedTokens = loads.ownPromptTokens(server.id) + readPeerLoad(server.id, now).promptTokens;
		return server.role === 'prefill' && queuedTokens / prefillThroughput.read(server.id) < minFullQueueMs;
	};

	return {
		/** Records that the placement is about to be used. Call this before the first byte is sent, so that the next pick counts the request. */
		noteDispatched(placement: Placement | PlainPlacement, now: Milliseconds): void {
			if (running.has(placement)) {
				return;
			}

			const wasServerIdle = placement.kind === 'pair' && placement.prefill.id !== placement.decode.id && isIdle(placement.prefill, now);
			running.set(placement, {
				stage: placement.kind === 'pair' ? 'prefill' : 'decode', dispatchedAt: now, prefilledAt: now, reserved: undefined, tokens: 0, wasServerIdle,
			});
			if (placement.kind === 'plain') {
				loads.addSlots(placement.server.id, 1, now);
				return;
			}

			noteSent(placement.decode, now);
			loads.addSlots(placement.decode.id, 1, now);
			loads.addPrefill(placement.prefill.id, toPrefillTokens(placement), now);
		},
		/** Records a granted reservation, in tokens; without it the end of the request does not count as freed room on a full server. */
		noteReserved(placement: Placement, tokens: number, now: Milliseconds): void {
			const progress = running.get(placement);
			if (progress !== undefined) {
				running.set(placement, {...progress, reserved: {tokens, at: now}});
				health.noteSuccess(toSubject(placement.decode), now);
				cooldowns.noteSuccess(placement.decode, now);
			}
		},
		/** Records that the prefill is done and the transfer begins. */
		notePrefilled(placement: Placement, result: Pick<PrefillResult, 'promptTokens' | 'cachedTokens' | 'bytes'>, now: Milliseconds): void {
			const progress = running.get(placement);
			if (progress?.stage !== 'prefill') {
				return;
			}

			running.set(placement, {...progress, stage: 'transfer', prefilledAt: now});
			loads.removePrefill(placement.prefill.id, toPrefillTokens(placement));
			if (progress.wasServerIdle) {
				prefillThroughput.note(placement.prefill.id, toPrefillTokens(placement), now - progress.dispatchedAt);
				split.notePrefill(placement.prefill.pool, now - progress.dispatchedAt);
			}

			loads.addTransfers(placement.prefill.id, 1);
			loads.addTransfers(placement.decode.id, 1);
			if (result.promptTokens > 0) {
				learned.kvBytesPerToken += gain * ((result.bytes / result.promptTokens) - learned.kvBytesPerToken);
			}

			prefixes.noteFeedback(placement.prefill.id, placement.prefixBlocks, Math.floor(result.cachedTokens / tokensPerBlock));
			prefixes.note(placement.prefill.id, placement.prefixBlocks);
			health.noteSuccess(toSubject(placement.prefill), now);
			cooldowns.noteSuccess(placement.prefill, now);
			health.noteSlowness(toSubject(placement.prefill), toSlowness(now - progress.dispatchedAt, placement.predictedPrefillMs), now);
		},
		/** Records the first token, or the first byte of a plain answer. */
		noteFirstToken(placement: Placement | PlainPlacement, now: Milliseconds): void {
			const progress = running.get(placement);
			if (progress === undefined) {
				return;
			}

			if (placement.kind === 'plain') {
				health.noteSuccess(toSubject(placement.server), now);
				cooldowns.noteSuccess(placement.server, now);
				return;
			}

			if (progress.stage === 'transfer') {
				running.set(placement, {...progress, stage: 'decode'});
				endTransfer(placement);
				const predictedMs = placement.predictedFirstTokenMs - placement.predictedPrefillMs;
				health.noteSuccess(toSubject(placement.decode), now);
				health.noteSlowness(toSubject(placement.decode), toSlowness(now - progress.prefilledAt, predictedMs), now);
			}
		},
		/** Records tokens of a stream. Call this repeatedly while the stream runs, so that a slow server is noticed before its streams end. */
		noteTokens(placement: Placement, seen: ObservedTokens, now: Milliseconds): void {
			const progress = running.get(placement);
			if (progress !== undefined) {
				running.set(placement, {...progress, tokens: progress.tokens + seen.tokens});
				tokenLatency.note(placement.decode.id, seen, now);
			}
		},
		/** Records the end of the attempt, successful or not; the servers hold nothing of the request any more. */
		noteFinished(placement: Placement | PlainPlacement, now: Milliseconds): void {
			const progress = running.get(placement);
			if (progress === undefined) {
				return;
			}

			running.delete(placement);
			if (placement.kind === 'plain') {
				loads.addSlots(placement.server.id, -1, now);
				return;
			}

			loads.addSlots(placement.decode.id, -1, now);
			if (progress.reserved !== undefined) {
				loads.noteFreed(placement.decode.id);
			}

			if (progress.stage === 'prefill') {
				loads.dropPrefill(placement.prefill.id, toPrefillTokens(placement), now);
			} else if (progress.stage === 'transfer') {
				endTransfer(placement);
			} else {
				learned.holdMs += gain * (now - progress.dispatchedAt - learned.holdMs);
				if (progress.reserved !== undefined) {
					split.noteReservation(placement.decode.pool, {tokens: progress.reserved.tokens, heldMs: now - progress.reserved.at});
				}

				lengths.note(placement.decode.pool, placement.class, progress.tokens, placement.maxTokens);
			}
		},
		/**
		 * Records that a server failed or refused. The kinds `refused`, `gone` and
		 * `aborted` don't affect the server's health; the reasons `full`, `leaving`
		 * and `wrong-model` correct its last report.
		 */
		noteFailure(server: ServerEntry, {kind, reason}: ServerFailure, now: Milliseconds): void {
			if (kind === 'unreachable' || kind === 'broken' || kind === 'invalid') {
				health.noteFailure(toSubject(server), kind, now);
				cooldowns.noteFailure(server, now);
			} else if (kind === 'refused' && reason !== undefined) {
				corrections[reason]?.(server.id, now);
				if (reason === 'full' && isRefusingWhileIdle(server, now)) {
					cooldowns.noteRefusal(server, now);
				}
			}
		},
	};
};
