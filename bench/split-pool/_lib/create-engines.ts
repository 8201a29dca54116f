/**
 * Engines of a pool, as far as they bind: prompts one after the other, and decode
 * memory that a place keeps until its answer has ended. A prompt that a decode
 * server computes holds up its answers meanwhile. Preemption, transfers and cached
 * parts are left out, so the model is kinder than the engines are.
 */
import {type Milliseconds} from '../../../src/ports/clock.js';

/** Figures of the users' sheets. */
export const promptTokensPerMs = 33.3;
const stepMs = 3.55;
const stepMsPerAnswer = 0.0462;
/** Time between two pieces of an answer as a rule, and the longest that is in time. */
const pieceMs = 48;
const pauseTargetMs = 300;
/** A decode server computes a prompt at half the pace. */
const decodePace = 0.5;

export type EngineSizes = {
	/** Tokens that a decode server's memory holds. */
	memoryTokens: number;
	/** Answers that it generates at a time. */
	slots: number;
};

export type Engines = {
	/** Takes a place, if there are memory and a slot for it. */
	reserve: (server: string, tokens: number) => boolean;
	free: (server: string, tokens: number) => void;
	/** Adds a prompt to the server's queue; returns when it is computed. */
	prefill: (server: string, tokens: number, now: Milliseconds) => Milliseconds;
	/** Has a decode server compute a prompt behind those that it computes already; returns when it is done. Its answers wait meanwhile. */
	prefillAtDecode: (server: string, tokens: number, now: Milliseconds) => Milliseconds;
	/** Whether the answers of the server had a pause over the target since a time. */
	hasPausedSince: (server: string, since: Milliseconds) => boolean;
	/** Time for which the server's answers were held up so far. */
	heldUpMs: (server: string) => Milliseconds;
	/** Time that the answer takes by itself. */
	startAnswer: (server: string, tokens: number) => Milliseconds;
	endAnswer: (server: string) => void;
};

/**
 * @param sizes - What each decode server holds.
 * @returns Idle engines.
 */
export function createEngines({memoryTokens, slots}: EngineSizes): Engines {
	const used = new Map<string, number>();
	const places = new Map<string, number>();
	const answers = new Map<string, number>();
	const pausedAt = new Map<string, Milliseconds>();
	const heldUp = new Map<string, Milliseconds>();
	const busyUntil = new Map<string, Milliseconds>();
	const add = (counts: Map<string, number>, server: string, count: number): number => {
		const next = (counts.get(server) ?? 0) + count;
		counts.set(server, next);
		return next;
	};

	return {
		reserve(server, tokens) {
			if ((used.get(server) ?? 0) + tokens > memoryTokens || (places.get(server) ?? 0) >= slots) {
				return false;
			}

			add(used, server, tokens);
			add(places, server, 1);
			return true;
		},
		free(server, tokens) {
			add(used, server, -tokens);
			add(places, server, -1);
		},
		prefill(server, tokens, now) {
			const doneAt = Math.max(now, busyUntil.get(server) ?? now) + (tokens / promptTokensPerMs);
			busyUntil.set(server, doneAt);
			return doneAt;
		},
		prefillAtDecode(server, tokens, now) {
			const tookMs = tokens / promptTokensPerMs / decodePace;
			const startAt = Math.max(now, busyUntil.get(server) ?? now);
			const isBehind = startAt > now;
			add(heldUp, server, tookMs);
			busyUntil.set(server, startAt + tookMs);
			// Prompts one behind the other are one pause for the answers.
			if (isBehind || tookMs + pieceMs > pauseTargetMs) {
				pausedAt.set(server, now);
			}

			return startAt + tookMs;
		},
		hasPausedSince: (server, since) => (pausedAt.get(server) ?? -Infinity) >= since,
		heldUpMs: server => heldUp.get(server) ?? 0,
		startAnswer(server, tokens) {
			const running = add(answers, server, 1);
			return tokens * (stepMs + (stepMsPerAnswer * running));
		},
		endAnswer(server) {
			add(answers, server, -1);
		},
	};
}
