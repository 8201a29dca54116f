/** What a host notes of its requests on servers, from which later picks learn. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type EngineRefusalReason, type PrefillResult} from '../../../ports/engine.js';
import {type ServerId} from '../../../ports/ids.js';
import {type ServerCooldowns} from '../../create-server-cooldowns/index.js';
import {type LoadEstimate} from '../../create-load-estimate/index.js';
import {type PrefixMap} from '../../create-prefix-map/index.js';
import {type PrefillThroughput} from '../../create-prefill-throughput/index.js';
import {type SharedLoads} from '../../create-shared-loads/index.js';
import {type SeenTokens, type InterTokenLatency} from '../../create-inter-token-latency/index.js';
import {type SplitEstimate} from '../../create-split-estimate/index.js';
import {type HealthSubject, type ServerHealth} from '../../create-server-health/index.js';
import {type AnswerLengths} from './create-answer-lengths.js';
import {type Eligibility} from './create-eligibility.js';
import {type Placement, type PlainPlacement, type ServerFailure} from './types.js';

type Progress = {
	stage: 'prefill' | 'transfer' | 'decode';
	dispatchedAt: Milliseconds;
	prefilledAt: Milliseconds;
	/** What the decode server has granted, and when. */
	reserved: {tokens: number; at: Milliseconds} | undefined;
	/** Tokens of the answer seen. */
	tokens: number;
	/** When it was sent, the prefill server had nothing else to do, as far as is known. */
	wasServerIdle: boolean;
};

/** What picks learn over time, shared by all pools of this host. */
export type LearnedValues = {
	kvBytesPerToken: number;
	/** Time for which a request holds its decode slot. */
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
	/** Told of the decode server of each pair that is about to be used. */
	noteSent: (server: ServerEntry, now: Milliseconds) => void;
};

/** Weight of the newest request in what is learnt. */
const gain = 0.05;

/** Predictions below this are noise when slowness is worked out, milliseconds. */
const minPredictedMs = 20;

/** A prefill server takes a dozen prompts and more at once, a second of work; with less in its queue it refuses for another reason than being full. */
const minFullQueueMs: Milliseconds = 300;

const toSlowness = (tookMs: Milliseconds, predictedMs: Milliseconds): number =>
	Math.min(100, Math.max(0, tookMs) / Math.max(minPredictedMs, predictedMs));

/**
 * @param options - The records to keep up to date.
 * @returns The `note…` functions of a placement. Each is idempotent for a placement and a stage.
 */
export const createFeedback = ({loads, health, eligibility, prefixes, tokenLatency, prefillThroughput, split, readPeerLoad, lengths, learned, tokensPerBlock, toSubject, cooldowns, noteSent}: FeedbackOptions) => {
	const running = new WeakMap<Placement | PlainPlacement, Progress>();

	const toPrefillTokens = (placement: Placement): number => placement.promptTokens - placement.expectedCachedTokens;

	const endTransfer = (placement: Placement): void => {
		loads.addTransfers(placement.prefill.id, -1);
		loads.addTransfers(placement.decode.id, -1);
	};

	/** What a refusal says against the server's last report. */
	const corrections: Partial<Record<EngineRefusalReason, (server: ServerId, now: Milliseconds) => void>> = {
		full: loads.noteFull,
		leaving: eligibility.noteLeaving,
		'wrong-model': eligibility.noteMismatch,
	};

	const isIdle = ({id}: ServerEntry, now: Milliseconds): boolean =>
		loads.ownPromptTokens(id) === 0 && readPeerLoad(id, now).promptTokens === 0;

	/**
	 * A prefill server refuses prompts while it changes its role, seconds long, and
	 * is published as before until it has. With nothing in its queue it looked like
	 * the best each time: on a calm day one such server turned away 35 requests of a
	 * zone for good, whose budget of repeats was used up. In doubt, it is asked once
	 * a second or less.
	 */
	const isRefusingWhileIdle = (server: ServerEntry, now: Milliseconds): boolean => {
		const queuedTokens = loads.ownPromptTokens(server.id) + readPeerLoad(server.id, now).promptTokens;
		return server.role === 'prefill' && queuedTokens / prefillThroughput.read(server.id) < minFullQueueMs;
	};

	return {
		/** The placement is about to be used. Call before the first byte goes out, so that the next pick sees it. */
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
		/** The decode server granted the reservation of so many tokens; without this note its end will not count as room on a full server. */
		noteReserved(placement: Placement, tokens: number, now: Milliseconds): void {
			const progress = running.get(placement);
			if (progress !== undefined) {
				running.set(placement, {...progress, reserved: {tokens, at: now}});
				health.noteSuccess(toSubject(placement.decode), now);
				cooldowns.noteSuccess(placement.decode, now);
			}
		},
		/** The prefill is done and its transfer begins. */
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
		/** The first token (or the first byte of a plain answer) came. */
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
		/** Tokens came one after the other. Call now and then while a stream goes on, so that a server that turns slow is known before its streams end. */
		noteTokens(placement: Placement, seen: SeenTokens, now: Milliseconds): void {
			const progress = running.get(placement);
			if (progress !== undefined) {
				running.set(placement, {...progress, tokens: progress.tokens + seen.tokens});
				tokenLatency.note(placement.decode.id, seen, now);
			}
		},
		/** The attempt has ended in any way, and the servers hold nothing of it. */
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
		 * A server failed or refused. `refused`, `gone` and `aborted` say nothing
		 * against its health; `full`, `leaving` and `wrong-model` correct its reports.
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
