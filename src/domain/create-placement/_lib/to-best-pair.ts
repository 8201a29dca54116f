/** Predicts the first token and the time lost to slow tokens for pairs of a prefill and a decode server, and picks the best pair. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type ServerLoad} from '../../create-load-estimate/index.js';
import {msPerSecond} from '../../../ports/units.js';

export type Candidate = {
	entry: ServerEntry;
	load: ServerLoad;
	/** Version of weights in the last report; `undefined` without a report. */
	version: string | undefined;
	/** Prompt tokens expected in the server's prefix cache. */
	cachedTokens: number;
	/** Expected time between two tokens; 0 on a prefill server. */
	stepMs: Milliseconds;
	/** Time that this answer would lose to slow tokens; 0 on a prefill server. */
	slowdownMs: Milliseconds;
	/** Penalty for the load that other hosts may have added since the last report. */
	unseenLoadMs: Milliseconds;
};

export type Pair = {
	prefill: Candidate;
	decode: Candidate;
	predictedPrefillMs: Milliseconds;
	predictedFirstTokenMs: Milliseconds;
	/** Predicted time to the first token plus the time lost to slow tokens. */
	delayMs: Milliseconds;
	/** `delayMs` plus the penalties of both servers. */
	score: number;
};

export type PairRequest = {
	promptTokens: number;
	kvBytes: number;
	zone: string;
	crossZoneMs: Milliseconds;
};

/** Number of best servers of each role that are combined into pairs; another server could win only with a much faster link. */
const shortlist = 4;

/**
 * Penalty of a full decode server compared with an empty one, milliseconds. It is
 * small compared with a prefill, but spreads streams over servers; streams share
 * their server's memory and batch.
 */
const fullServerPenaltyMs = 100;

/** A KV transfer between zones uses links that all pairs share, so it costs more than a call between zones. */
const crossTransferFactor = 4;

const toZoneMs = (entry: ServerEntry, request: PairRequest): Milliseconds => entry.zone === request.zone ? 0 : request.crossZoneMs;

const toPrefillMs = (prefill: Candidate, request: PairRequest): Milliseconds =>
	((prefill.load.backlogTokens + Math.max(1, request.promptTokens - prefill.cachedTokens)) / prefill.load.tokensPerSecond * msPerSecond) + toZoneMs(prefill.entry, request);

const toOccupancyPenalty = ({load}: Candidate): number => fullServerPenaltyMs * load.slotsUsed / Math.max(1, load.slotsTotal);

/** Cost of a decode server in addition to its effect on the first token. */
const toDecodeCost = (decode: Candidate): Milliseconds => toOccupancyPenalty(decode) + decode.slowdownMs + decode.unseenLoadMs;

/** Duration of the transfer over one server's link, shared with the transfers in progress. */
const toLinkMs = ({load}: Candidate, {kvBytes}: PairRequest): Milliseconds =>
	kvBytes * (1 + load.transfers) / Math.max(1, load.linkBytesPerSecond) * msPerSecond;

/** Duration of the transfer; the slower link determines it. */
const toTransferMs = (prefill: Candidate, decode: Candidate, request: PairRequest): Milliseconds => {
	const crossing = prefill.entry.zone === decode.entry.zone ? 0 : request.crossZoneMs * crossTransferFactor;
	return Math.max(toLinkMs(prefill, request), toLinkMs(decode, request)) + crossing;
};

const takeBest = (candidates: readonly Candidate[], toCost: (candidate: Candidate) => number): ReadonlyArray<{candidate: Candidate; cost: number}> =>
	candidates.map(candidate => ({candidate, cost: toCost(candidate)})).toSorted((a, b) => a.cost - b.cost).slice(0, shortlist);

const toBestOfVersion = (prefills: readonly Candidate[], decodes: readonly Candidate[], request: PairRequest): Pair | undefined => {
	const bestPrefills = takeBest(prefills, prefill => toPrefillMs(prefill, request) + prefill.unseenLoadMs);
	const bestDecodes = takeBest(decodes, decode => toDecodeCost(decode) + toZoneMs(decode.entry, request) + toLinkMs(decode, request));
	let best: Pair | undefined;
	for (const {candidate: prefill, cost} of bestPrefills) {
		const predictedPrefillMs = cost - prefill.unseenLoadMs;
		for (const {candidate: decode} of bestDecodes) {
			const predictedFirstTokenMs = predictedPrefillMs + toTransferMs(prefill, decode, request) + decode.stepMs + toZoneMs(decode.entry, request);
			const score = predictedFirstTokenMs + prefill.unseenLoadMs + toDecodeCost(decode);
			if (best === undefined || score < best.score) {
				best = {
					prefill, decode, predictedPrefillMs, predictedFirstTokenMs, delayMs: predictedFirstTokenMs + decode.slowdownMs, score,
				};
			}
		}
	}

	return best;
};

/**
 * Picks the best pair. A KV cache can be used only with the weights that produced
 * it: a pair with two versions would generate nonsense, or be refused after the
 * prefill was done. During a rollout, pairs are therefore formed within a version.
 *
 * @param prefills - Candidates for the prefill.
 * @param decodes - Candidates with room for one more request.
 * @param request - Prompt, cache size, and this host's zone.
 * @returns The pair with the best score, or `undefined` when there is none.
 */
export const toBestPair = (prefills: readonly Candidate[], decodes: readonly Candidate[], request: PairRequest): Pair | undefined => {
	const versions = new Set(decodes.map(decode => decode.version));
	if (versions.size === 1 && prefills.every(prefill => versions.has(prefill.version))) {
		return toBestOfVersion(prefills, decodes, request);
	}

	const isOfVersion = (version: string | undefined) => (candidate: Candidate) => version === undefined || candidate.version === undefined || candidate.version === version;
	let best: Pair | undefined;
	for (const version of versions) {
		const decodesOf = decodes.filter(decode => decode.version === version);
		const pair = toBestOfVersion(prefills.filter(isOfVersion(version)), decodesOf, request);
		best = best === undefined || (pair !== undefined && pair.score < best.score) ? pair : best;
	}

	return best;
};
