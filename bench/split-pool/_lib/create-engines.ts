/**
 * Models the engines of a pool by their limiting resources: a prefill server computes
 * one prompt at a time, and a place in decode memory stays reserved until its answer
 * ends. A prompt that a decode server computes blocks the server's answers meanwhile.
 * The model omits preemption, transfers and prefix caching, so it is optimistic.
 */
import {type Milliseconds} from '../../../src/ports/clock.js';

/** Rates from the users' data sheets. */
export const promptTokensPerMs = 33.3;
const stepMs = 3.55;
const stepMsPerAnswer = 0.0462;
/** Usual time between two pieces of an answer, and the longest pause that counts as in time. */
const pieceMs = 48;
const pauseTargetMs = 300;
/** Speed of a decode server at computing prompts, relative to a prefill server. */
const relativePrefillSpeed = 0.5;

export type EngineSizes = {
	/** Tokens that a decode server's memory holds. */
	memoryTokens: number;
	/** Answers that a decode server generates at the same time. */
	slots: number;
};

export type Engines = {
	/** Reserves a place; returns whether the server has a slot and enough memory. */
	reserve: (server: string, tokens: number) => boolean;
	free: (server: string, tokens: number) => void;
	/** Adds a prompt to the queue of a prefill server; returns the time at which the prompt is computed. */
	prefill: (server: string, tokens: number, now: Milliseconds) => Milliseconds;
	/** Adds a prompt to the queue of a decode server, whose answers are blocked meanwhile; returns the time at which the prompt is computed. */
	prefillAtDecode: (server: string, tokens: number, now: Milliseconds) => Milliseconds;
	/** Whether the answers of the server have paused for longer than the target since a time. */
	hasPausedSince: (server: string, since: Milliseconds) => boolean;
	/** Total time for which prompts have blocked the server's answers. */
	heldUpMs: (server: string) => Milliseconds;
	/** Returns the time that the answer takes if no prompt blocks the server. */
	startAnswer: (server: string, tokens: number) => Milliseconds;
	endAnswer: (server: string) => void;
};

/**
 * Creates the engines of a pool.
 *
 * @param sizes - Memory and slots of each decode server.
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
			const tookMs = tokens / promptTokensPerMs / relativePrefillSpeed;
			const startAt = Math.max(now, busyUntil.get(server) ?? now);
			const isBehind = startAt > now;
			add(heldUp, server, tookMs);
			busyUntil.set(server, startAt + tookMs);
			// Consecutive prompts add up to one pause of the answers.
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
