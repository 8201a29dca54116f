/** Predicts the first token and the time lost to slow tokens of each prefill and decode pair, and takes the best. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type ServerLoad} from '../../create-load-estimate/index.js';
import {msPerSecond} from '../../../ports/units.js';

export type Candidate = {
	entry: ServerEntry;
	load: ServerLoad;
	/** Version of weights by the last report; `undefined` without one. */
	version: string | undefined;
	/** Prompt tokens expected in the server's prefix cache. */
	cachedTokens: number;
	/** Time expected between two tokens, on a decode server. */
	stepMs: Milliseconds;
	/** Time that this answer would lose to tokens slower than usual, on a decode server. */
	slowdownMs: Milliseconds;
	/** What speaks against the server because other hosts send to it, unseen. */
	unseenLoadMs: Milliseconds;
};

export type Pair = {
	prefill: Candidate;
	decode: Candidate;
	predictedPrefillMs: Milliseconds;
	predictedFirstTokenMs: Milliseconds;
	/** Predicted first token, and the time lost to slow tokens. */
	delayMs: Milliseconds;
	/** `delayMs` plus what else speaks against the servers. */
	score: number;
};

export type PairRequest = {
	promptTokens: number;
	kvBytes: number;
	zone: string;
	crossZoneMs: Milliseconds;
};

/** Best servers of each role that are combined; the rest cannot win but by a link much faster than its peers'. */
const shortlist = 4;

/**
 * Weight of a full decode server against an empty one, milliseconds. It is
 * small beside a prefill, yet spreads streams, as each shares its server's
 * memory and batch with the rest.
 */
const fullServerPenaltyMs = 100;

/** A KV cache that crosses zones loads links which all pairs share, so it counts for more than a call that does. */
const crossTransferFactor = 4;

const toZoneMs = (entry: ServerEntry, request: PairRequest): Milliseconds => entry.zone === request.zone ? 0 : request.crossZoneMs;

const toPrefillMs = (prefill: Candidate, request: PairRequest): Milliseconds =>
	((prefill.load.backlogTokens + Math.max(1, request.promptTokens - prefill.cachedTokens)) / prefill.load.tokensPerSecond * msPerSecond) + toZoneMs(prefill.entry, request);

const toOccupancyPenalty = ({load}: Candidate): number => fullServerPenaltyMs * load.slotsUsed / Math.max(1, load.slotsTotal);

/** What speaks against a decode server beside the first token. */
const toDecodeCost = (decode: Candidate): Milliseconds => toOccupancyPenalty(decode) + decode.slowdownMs + decode.unseenLoadMs;

/** Time of the transfer over one server's link, shared with the transfers already on it. */
const toLinkMs = ({load}: Candidate, {kvBytes}: PairRequest): Milliseconds =>
	kvBytes * (1 + load.transfers) / Math.max(1, load.linkBytesPerSecond) * msPerSecond;

/** The slower end decides. */
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
 * A KV cache is of use only to the weights that made it: a pair of two versions
 * would answer with nonsense, or be refused after the prefill was paid for. So
 * while a pool changes its version, pairs are made within each version.
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
