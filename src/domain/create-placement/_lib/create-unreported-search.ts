/**
 * Finds a prefill and a decode server where nobody polls loads: this host knows
 * its own requests, what servers answered them, and what other hosts say that
 * they have under way. The decode server, asked for a reservation, is the arbiter of its memory, so a
 * wrong guess costs one short call and no prompt computed for nothing.
 */
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type ServerCooldowns} from '../../create-server-cooldowns/index.js';
import {type ServerLoad} from '../../create-load-estimate/index.js';
import {type PrefillThroughput} from '../../create-prefill-throughput/index.js';
import {type SharedLoads} from '../../create-shared-loads/index.js';
import {isSoft} from './create-eligibility.js';
import {type PairSearchOptions, type Search} from './search-types.js';
import {type Candidate, type Pair} from './to-best-pair.js';
import {type RoleServers} from './to-pool-index.js';

/**
 * Time after a refusal as full in which a decode server is not asked again. Its
 * streams last seconds and several hosts send to it, so room comes every hundred
 * milliseconds or so; asking each waiting request's turn would be calls for nothing.
 */
const fullCooldownMs: Milliseconds = 40;

/**
 * Decode servers of the own zone, and of all others, that are asked at once. So many
 * that say that they are full tell that the rest is too, but not those of the own zone
 * alone, which is asked first and may be full by itself. Each call costs a small host a millisecond or two, and a request that
 * waits asked all of fifty servers a thousand times a second in all.
 */
const fullSampleSize = 8;

/**
 * What another zone counts against a decode server, in requests. A stream within
 * its zone outlives a cut of the zone and moves its prompt in half the time; with
 * two, and not a half, between servers of a dozen places the load is still even.
 */
const otherZonePenaltyRequests = 2;

/** What crossing zones adds to a transfer that others share, milliseconds. */
const crossZoneTransferMs: Milliseconds = 20;

/** Costs beyond all others: what is in doubt is tried only when nothing else is left. */
const cooldownPenaltyRequests = 1000;
const cooldownPenaltyMs: Milliseconds = 1_000_000;

/**
 * A decode server computes a prompt at half the pace of a prefill server, and
 * its streams wait meanwhile: two such prompts one behind the other are a pause
 * that makes all of them late. So it does so only where the queue of the best
 * prefill server is this much longer. In a model of six servers under bursts
 * (bench `split-pool`) 300 ms served 0.88 in time with two prefill servers and
 * 0.62 with one, 600 ms 0.91 and 0.69, never 0.92 and 0.49.
 */
const decodePrefillSpeed = 0.5;
const prefillOverflowMs: Milliseconds = 600;

type UnreportedOptions = Pick<PairSearchOptions, 'zone' | 'loads' | 'eligibility'> & {
	cooldowns: ServerCooldowns;
	prefillThroughput: PrefillThroughput;
	readPeerLoad: SharedLoads['read'];
};

/**
 * @param options - Zone of this host, its own counts, and what speaks against servers.
 * @returns A function that finds the decode server with the fewest requests and the prefill server with the shortest queue.
 */
export const createUnreportedSearch = ({zone, loads, eligibility, cooldowns, prefillThroughput, readPeerLoad}: UnreportedOptions) => {
	const isUsable = (entry: ServerEntry, search: Search, isLastResort: boolean): boolean => {
		const query = isLastResort ? {...search, isLastResort} : search;
		const reason = eligibility.toReason(entry, query, isLastResort ? 0 : search.random());
		search.findings.unreachable ||= reason === 'unreachable' || reason === 'ejected';
		// Nobody reports here, so a load that is not known says nothing against a server.
		return reason === undefined || reason === 'unknown-load' || (isLastResort && isSoft(reason));
	};

	const toCandidate = (entry: ServerEntry, load: ServerLoad): Candidate => ({
		entry, load, version: undefined, cachedTokens: 0, stepMs: 0, slowdownMs: 0, unseenLoadMs: 0,
	});

	const readAll = ({all}: RoleServers, search: Search, isLastResort: boolean): Candidate[] =>
		all.filter(entry => isUsable(entry, search, isLastResort)).map(entry => toCandidate(entry, loads.read(entry, undefined, search.now)));

	const readDecodes = (search: Search, isLastResort: boolean): Candidate[] => {
		const {servers: {decode}, now, findings} = search;
		const rounds = Math.max(1, decode.all.length / fullSampleSize);
		// With more servers room is rarer at each of them, and a round finds it later.
		const roundMs = fullCooldownMs * Math.sqrt(rounds);
		const wasFullWithin = (ms: Milliseconds) => ({id}: ServerEntry): boolean => loads.isFullSince(id, now - ms);
		const isSampleFull = (servers: readonly ServerEntry[]): boolean => servers.filter(wasFullWithin(roundMs)).length >= Math.min(fullSampleSize, servers.length);
		const ownZone = decode.all.filter(entry => entry.zone === zone);
		const otherZones = decode.all.filter(entry => entry.zone !== zone);
		if (rounds > 1 && isSampleFull(ownZone) && isSampleFull(otherZones)) {
			findings.full = true;
			findings.healthyFull = true;
			return [];
		}

		// Remembered until the others have had their turn.
		const isStillFull = wasFullWithin(roundMs * rounds);
		return readAll(decode, search, isLastResort).filter(({entry}) => {
			const isFull = isStillFull(entry);
			findings.full ||= isFull;
			findings.healthyFull ||= isFull && cooldowns.toLevel(entry, now) === 0;
			return !isFull;
		});
	};

	const pickCheapest = (candidates: readonly Candidate[], toCost: (candidate: Candidate) => number): Candidate | undefined => {
		let cheapest: Candidate | undefined;
		let lowestCost = Infinity;
		for (const candidate of candidates) {
			const cost = toCost(candidate);
			if (cost < lowestCost) {
				cheapest = candidate;
				lowestCost = cost;
			}
		}

		return cheapest;
	};

	const findAmong = (search: Search, isLastResort: boolean): Pair | undefined => {
		const {random, promptTokens, now} = search;
		const decodes = readDecodes(search, isLastResort);
		const toRequests = ({entry, load}: Candidate): number =>
			load.own + readPeerLoad(entry.id, now).requests + (entry.zone === zone ? 0 : otherZonePenaltyRequests) + (cooldowns.toLevel(entry, now) * cooldownPenaltyRequests);
		// Chance breaks ties, or all hosts that start empty would send to the same server.
		const decode = pickCheapest(decodes, candidate => toRequests(candidate) + (random() / 2));
		// Room comes back at a full server within the time that one behind a cut takes to be given up.
		if (decode === undefined || (search.findings.healthyFull && cooldowns.toLevel(decode.entry, now) > 0)) {
			return undefined;
		}

		const toPrefillMs = ({entry, load}: Candidate): Milliseconds =>
			((load.ownPromptTokens + readPeerLoad(entry.id, now).promptTokens + promptTokens) / prefillThroughput.read(entry.id)) + (entry.zone === decode.entry.zone ? 0 : crossZoneTransferMs);
		const best = search.isOneCall ? undefined : pickCheapest(readAll(search.servers.prefill, search, isLastResort), candidate => toPrefillMs(candidate) + random() + (cooldowns.toLevel(candidate.entry, now) * cooldownPenaltyMs));
		const decodeOnlyMs = promptTokens / prefillThroughput.read(decode.entry.id) / decodePrefillSpeed;
		// Servers that are replaced may all come back as decode servers, and a cut may leave a zone without any other. Those
		// compute a prompt too, slower and between the tokens of others; without that, every request would be refused, or
		// wait for one silent prefill server after the other, while decode memory stands free.
		const isDecodeOnly = best === undefined || cooldowns.toLevel(best.entry, now) > cooldowns.toLevel(decode.entry, now) || toPrefillMs(best) > decodeOnlyMs + prefillOverflowMs;
		const prefill = isDecodeOnly ? decode : best;
		const predictedPrefillMs = isDecodeOnly ? decodeOnlyMs : toPrefillMs(prefill);
		return {
			prefill, decode, predictedPrefillMs, predictedFirstTokenMs: predictedPrefillMs, delayMs: predictedPrefillMs, score: predictedPrefillMs,
		};
	};

	return (search: Search): Pair | undefined =>
		findAmong(search, false) ?? (search.findings.full ? undefined : findAmong(search, true));
};
