/** Requests for a pool of prefill and decode servers: waves, clumps, bursts, and lengths that spread widely. */
import {type Milliseconds, type Random} from '../../../src/ports/clock.js';
import {msPerSecond} from '../../../src/ports/units.js';

export type Work = {
	at: Milliseconds;
	host: number;
	promptTokens: number;
	/** Tokens that the answer will have. */
	answerTokens: number;
	/** What its caller guesses: right at the median, often far off. */
	estimatedTokens: number;
};

export type WorkloadOptions = {
	hosts: number;
	/** Requests a second outside bursts. */
	perSecond: number;
	/** Length of the day, milliseconds. */
	lengthMs: Milliseconds;
	/** Requests in a burst over those outside. */
	burst: number;
};

/** Lengths as the users' sheets have them: means, spreads of a log-normal, and caps. */
const prompt = {
	mean: 3000, spread: 0.5, max: 6600, shared: 200,
};
const answer = {mean: 864, spread: 0.7, max: 2040};
const guessSpread = 0.5;

/** A burst of four seconds in each ten. */
const burstEveryMs = 10 * msPerSecond;
const burstFromMs = 6 * msPerSecond;

/** Requests come a few at a time. */
const clump = 3;

/** Box and Muller. */
function toNormal(random: Random): number {
	return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}

function toLength({mean, spread, max}: {mean: number; spread: number; max: number}, random: Random): number {
	const length = mean * Math.exp((spread * toNormal(random)) - (spread * spread / 2));
	return Math.max(1, Math.round(Math.min(max, length)));
}

function toWork(at: Milliseconds, hosts: number, random: Random): Work {
	const answerTokens = toLength(answer, random);
	return {
		at,
		host: Math.floor(random() * hosts),
		promptTokens: prompt.shared + toLength(prompt, random),
		answerTokens,
		estimatedTokens: Math.round(answerTokens * Math.exp(guessSpread * toNormal(random))),
	};
}

/**
 * Draws a day.
 *
 * @param options - Rate, hosts, length, bursts.
 * @param random - Source of chance.
 * @returns Requests in order.
 */
export function createWorkload({hosts, perSecond, lengthMs, burst}: WorkloadOptions, random: Random): Work[] {
	const works: Work[] = [];
	for (let at = 0; at < lengthMs;) {
		const isBurst = at % burstEveryMs >= burstFromMs;
		const clumpsPerMs = perSecond * (isBurst ? burst : 1) / clump / msPerSecond;
		at -= Math.log(1 - random()) / clumpsPerMs;
		const clumpAt = at;
		const count = 1 + Math.floor(random() * ((2 * clump) - 1));
		works.push(...Array.from({length: count}, () => toWork(clumpAt, hosts, random)));
	}

	return works.filter(({at}) => at < lengthMs);
}
