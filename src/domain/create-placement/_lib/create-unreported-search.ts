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
import {isSoft} from './create-standing.js';
import {type PairSearchOptions, type Search} from './search-types.js';
import {type Candidate, type Pair} from './to-best-pair.js';
import {type RoleServers} from './to-pool-index.js';

/**
 * Time after a refusal as full in which a decode server is not asked again. Its
 * streams last seconds and several hosts send to it, so room comes every hundred
 * milliseconds or so; asking each waiting request's turn would be calls for nothing.
 */
const fullForMs: Milliseconds = 40;

/**
 * Decode servers of the own zone, and of all others, that are asked at once. So many
 * that say that they are full tell that the rest is too, but not those of the own zone
 * alone, which is asked first and may be full by itself. Each call costs a small host a millisecond or two, and a request that
 * waits asked all of fifty servers a thousand times a second in all.
 */
const askedAtOnce = 8;

/**
 * What another zone counts against a decode server, in requests. A stream within
 * its zone outlives a cut of the zone and moves its prompt in half the time; with
 * two, and not a half, between servers of a dozen places the load is still even.
 */
const otherZoneRequests = 2;

/** What crossing zones adds to a transfer that others share, milliseconds. */
const crossTransferMs: Milliseconds = 20;

/** Costs beyond all others: what is in doubt is tried only when nothing else is left. */
const doubtRequests = 1000;
const doubtMs: Milliseconds = 1_000_000;

/**
 * A decode server computes a prompt at half the pace of a prefill server, and
 * its streams wait meanwhile: two such prompts one behind the other are a pause
 * that makes all of them late. So it does so only where the queue of the best
 * prefill server is this much longer. In a model of six servers under bursts
 * (bench `split-pool`) 300 ms served 0.88 in time with two prefill servers and
 * 0.62 with one, 600 ms 0.91 and 0.69, never 0.92 and 0.49.
 */
const decodePace = 0.5;
const overflowMs: Milliseconds = 600;

type UnreportedOptions = Pick<PairSearchOptions, 'zone' | 'loads' | 'standing'> & {
	doubts: ServerCooldowns;
	promptPace: PrefillThroughput;
	readOthers: SharedLoads['read'];
};

/**
 * @param options - Zone of this host, its own counts, and what speaks against servers.
 * @returns A function that finds the decode server with the fewest requests and the prefill server with the shortest queue.
 */
export const createUnreportedSearch = ({zone, loads, standing, doubts, promptPace, readOthers}: UnreportedOptions) => {
	const isUsable = (entry: ServerEntry, search: Search, isLastResort: boolean): boolean => {
		const inquiry = isLastResort ? {...search, isLastResort} : search;
		const reason = standing.toReason(entry, inquiry, isLastResort ? 0 : search.random());
		search.met.lost ||= reason === 'unreachable' || reason === 'ejected';
		// Nobody reports here, so a load that is not known says nothing against a server.
		return reason === undefined || reason === 'unknown-load' || (isLastResort && isSoft(reason));
	};

	const toCandidate = (entry: ServerEntry, load: ServerLoad): Candidate => ({
		entry, load, version: undefined, cachedTokens: 0, stepMs: 0, slowMs: 0, unseenMs: 0,
	});

	const readAll = ({all}: RoleServers, search: Search, isLastResort: boolean): Candidate[] =>
		all.filter(entry => isUsable(entry, search, isLastResort)).map(entry => toCandidate(entry, loads.read(entry, undefined, search.now)));

	const readDecodes = (search: Search, isLastResort: boolean): Candidate[] => {
		const {servers: {decode}, now, met} = search;
		const rounds = Math.max(1, decode.all.length / askedAtOnce);
		// With more servers room is rarer at each of them, and a round finds it later.
		const roundMs = fullForMs * Math.sqrt(rounds);
		const isFullFor = (ms: Milliseconds) => ({id}: ServerEntry): boolean => loads.isFullSince(id, now - ms);
		const isFullPart = (part: readonly ServerEntry[]): boolean => part.filter(isFullFor(roundMs)).length >= Math.min(askedAtOnce, part.length);
		const here = decode.all.filter(entry => entry.zone === zone);
		const elsewhere = decode.all.filter(entry => entry.zone !== zone);
		if (rounds > 1 && isFullPart(here) && isFullPart(elsewhere)) {
			met.full = true;
			met.isSoundFull = true;
			return [];
		}

		// Remembered until the others have had their turn.
		const isRemembered = isFullFor(roundMs * rounds);
		return readAll(decode, search, isLastResort).filter(({entry}) => {
			const isFull = isRemembered(entry);
			met.full ||= isFull;
			met.isSoundFull ||= isFull && doubts.toLevel(entry, now) === 0;
			return !isFull;
		});
	};

	const takeLeast = (candidates: readonly Candidate[], toCost: (candidate: Candidate) => number): Candidate | undefined => {
		let least: Candidate | undefined;
		let leastCost = Infinity;
		for (const candidate of candidates) {
			const cost = toCost(candidate);
			if (cost < leastCost) {
				least = candidate;
				leastCost = cost;
			}
		}

		return least;
	};

	const findAmong = (search: Search, isLastResort: boolean): Pair | undefined => {
		const {random, promptTokens, now} = search;
		const decodes = readDecodes(search, isLastResort);
		const toRequests = ({entry, load}: Candidate): number =>
			load.own + readOthers(entry.id, now).requests + (entry.zone === zone ? 0 : otherZoneRequests) + (doubts.toLevel(entry, now) * doubtRequests);
		// Chance breaks ties, or all hosts that start empty would send to the same server.
		const decode = takeLeast(decodes, candidate => toRequests(candidate) + (random() / 2));
		// Room comes back at a full server within the time that one behind a cut takes to be given up.
		if (decode === undefined || (search.met.isSoundFull && doubts.toLevel(decode.entry, now) > 0)) {
			return undefined;
		}

		const toPrefillMs = ({entry, load}: Candidate): Milliseconds =>
			((load.ownPromptTokens + readOthers(entry.id, now).promptTokens + promptTokens) / promptPace.read(entry.id)) + (entry.zone === decode.entry.zone ? 0 : crossTransferMs);
		const best = search.isOneCall ? undefined : takeLeast(readAll(search.servers.prefill, search, isLastResort), candidate => toPrefillMs(candidate) + random() + (doubts.toLevel(candidate.entry, now) * doubtMs));
		const aloneMs = promptTokens / promptPace.read(decode.entry.id) / decodePace;
		// Servers that are replaced may all come back as decode servers, and a cut may leave a zone without any other. Those
		// compute a prompt too, slower and between the tokens of others; without that, every request would be refused, or
		// wait for one silent prefill server after the other, while decode memory stands free.
		const isAlone = best === undefined || doubts.toLevel(best.entry, now) > doubts.toLevel(decode.entry, now) || toPrefillMs(best) > aloneMs + overflowMs;
		const prefill = isAlone ? decode : best;
		const predictedPrefillMs = isAlone ? aloneMs : toPrefillMs(prefill);
		return {
			prefill, decode, predictedPrefillMs, predictedFirstTokenMs: predictedPrefillMs, delayMs: predictedPrefillMs, score: predictedPrefillMs,
		};
	};

	return (search: Search): Pair | undefined =>
		findAmong(search, false) ?? (search.met.full ? undefined : findAmong(search, true));
};
