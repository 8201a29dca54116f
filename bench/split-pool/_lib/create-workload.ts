/** Generates requests for a pool of prefill and decode servers: batched arrivals, bursts, and widely varying lengths. */
import {type Milliseconds, type Random} from '../../../src/ports/clock.js';
import {msPerSecond} from '../../../src/ports/units.js';

export type Work = {
	at: Milliseconds;
	/** Index of the host that receives the request. */
	host: number;
	promptTokens: number;
	/** Actual length of the answer. */
	answerTokens: number;
	/** Length that the caller estimates: unbiased at the median, with a wide spread. */
	estimatedTokens: number;
};

export type WorkloadOptions = {
	hosts: number;
	/** Requests a second outside bursts. */
	perSecond: number;
	/** Duration of the workload. */
	lengthMs: Milliseconds;
	/** Factor by which a burst raises the request rate. */
	burst: number;
};

/** Token counts from the users' data sheets: mean, sigma of the log-normal distribution, and cap. */
const prompt = {
	mean: 3000, spread: 0.5, max: 6600, shared: 200,
};
const answer = {mean: 864, spread: 0.7, max: 2040};
const estimateSpread = 0.5;

/** The last four of every ten seconds are a burst. */
const burstEveryMs = 10 * msPerSecond;
const burstFromMs = 6 * msPerSecond;

/** Mean number of requests that arrive at the same time. */
const meanGroupSize = 3;

/** Draws from the standard normal distribution (Box-Muller transform). */
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
		estimatedTokens: Math.round(answerTokens * Math.exp(estimateSpread * toNormal(random))),
	};
}

/**
 * Draws the requests of one run.
 *
 * @param options - Request rate, hosts, duration and bursts.
 * @param random - Random number generator.
 * @returns Requests by time of arrival.
 */
export function createWorkload({hosts, perSecond, lengthMs, burst}: WorkloadOptions, random: Random): Work[] {
	const works: Work[] = [];
	for (let at = 0; at < lengthMs;) {
		const isBurst = at % burstEveryMs >= burstFromMs;
		const groupsPerMs = perSecond * (isBurst ? burst : 1) / meanGroupSize / msPerSecond;
		at -= Math.log(1 - random()) / groupsPerMs;
		const groupAt = at;
		const count = 1 + Math.floor(random() * ((2 * meanGroupSize) - 1));
		works.push(...Array.from({length: count}, () => toWork(groupAt, hosts, random)));
	}

	return works.filter(({at}) => at < lengthMs);
}
