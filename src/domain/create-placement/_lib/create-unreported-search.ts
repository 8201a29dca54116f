/**
 * Finds a prefill and a decode server where nobody polls loads. This host knows
 * its own requests, the servers' answers, and the in-flight loads that other hosts
 * announce. The decode server decides on each reservation, so a wrong guess costs
 * one short call and no wasted prefill.
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
 * streams last seconds and come from several hosts, so a place becomes free about
 * every hundred milliseconds; a call for each waiting request would be wasted.
 */
const fullCooldownMs: Milliseconds = 40;

/**
 * Number of decode servers, both of the own zone and of all other zones, after whose
 * refusals the whole pool counts as full. The own zone alone is not enough: it is
 * asked first and may be full by itself. Each call costs a small host a millisecond
 * or two; without this limit a waiting request made a thousand calls a second in a
 * pool of fifty servers.
 */
const fullSampleSize = 8;

/**
 * Penalty of a decode server in another zone, in requests. A stream within its own
 * zone survives a partition of the zone and transfers its prompt in half the time.
 * With a penalty of 2 instead of 0.5, the load of servers with a dozen slots is
 * still even.
 */
const otherZonePenaltyRequests = 2;

/** Time added to a transfer between zones, whose links are shared, milliseconds. */
const crossZoneTransferMs: Milliseconds = 20;

/** Penalties above all other costs: a server in cooldown is tried only when no other is left. */
const cooldownPenaltyRequests = 1000;
const cooldownPenaltyMs: Milliseconds = 1_000_000;

/**
 * A decode server computes a prompt at half the speed of a prefill server and
 * stalls its streams meanwhile; two such prompts in a row make all of them late.
 * It therefore computes a prompt only if the wait for the best prefill server is
 * longer by `prefillOverflowMs`. In a model of six servers under bursts (bench
 * `split-pool`), 300 ms served 0.88 of the requests in time with two prefill
 * servers and 0.62 with one; 600 ms served 0.91 and 0.69; without overflow 0.92
 * and 0.49 were served.
 */
const decodePrefillSpeed = 0.5;
const prefillOverflowMs: Milliseconds = 600;

type UnreportedOptions = Pick<PairSearchOptions, 'zone' | 'loads' | 'eligibility'> & {
	cooldowns: ServerCooldowns;
	prefillThroughput: PrefillThroughput;
	readPeerLoad: SharedLoads['read'];
};

/**
 * Creates the search.
 *
 * @param options - Zone of this host, its own counts, and the records of failures.
 * @returns A function that finds the decode server with the fewest requests and the prefill server with the shortest queue.
 */
export const createUnreportedSearch = ({zone, loads, eligibility, cooldowns, prefillThroughput, readPeerLoad}: UnreportedOptions) => {
	const isUsable = (entry: ServerEntry, search: Search, isLastResort: boolean): boolean => {
		const query = isLastResort ? {...search, isLastResort} : search;
		const reason = eligibility.toReason(entry, query, isLastResort ? 0 : search.random());
		search.findings.unreachable ||= reason === 'unreachable' || reason === 'ejected';
		// No server reports here, so an unknown load does not count against a server.
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
		// The more servers there are, the less often each one has room, and the later a round of calls finds it.
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

		// A refusal counts until the other servers have been asked in turn.
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
		// Ties are broken at random; otherwise all hosts that have just started would send to the same server.
		const decode = pickCheapest(decodes, candidate => toRequests(candidate) + (random() / 2));
		// A full server has room again sooner than a call to a partitioned server times out.
		if (decode === undefined || (search.findings.healthyFull && cooldowns.toLevel(decode.entry, now) > 0)) {
			return undefined;
		}

		const toPrefillMs = ({entry, load}: Candidate): Milliseconds =>
			((load.ownPromptTokens + readPeerLoad(entry.id, now).promptTokens + promptTokens) / prefillThroughput.read(entry.id)) + (entry.zone === decode.entry.zone ? 0 : crossZoneTransferMs);
		const best = search.isOneCall
			? undefined
			: pickCheapest(
				readAll(search.servers.prefill, search, isLastResort),
				candidate => toPrefillMs(candidate) + random() + (cooldowns.toLevel(candidate.entry, now) * cooldownPenaltyMs),
			);
		const decodeOnlyMs = promptTokens / prefillThroughput.read(decode.entry.id) / decodePrefillSpeed;
		// Replaced servers may all return as decode servers, and a partition may leave a zone with decode servers only. Decode
		// servers can compute prompts too, slower and between the tokens of their streams. Without this fallback every request
		// would be refused, or would wait for one unresponsive prefill server after another, while decode memory is free.
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
