/**
 * Watches whether this host reaches the servers of each pool: records its calls,
 * exchanges with other hosts whose servers answer, and probes servers that do not.
 */
import {toHash32} from '../../../_lib/to-hash32/index.js';
import {type Log} from '../../../adapters/log/index.js';
import {maxAnswers} from '../../../adapters/load-datagrams/index.js';
import {createPeerLinks} from '../../../domain/create-peer-links/index.js';
import {createPoolLinks, type PoolLinks} from '../../../domain/create-pool-links/index.js';
import {type Clock, type Milliseconds, type Random} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type Reach} from '../../../ports/reach.js';
import {type PoolAnswer} from '../../../ports/shared-loads.js';
import {msPerSecond} from '../../../ports/units.js';
import {type FleetView} from '../../../ports/view.js';

export type WatchLinksOptions = {
	clock: Clock;
	random: Random;
	log: Log;
	toView: () => FleetView | undefined;
	/** Tries to open a connection to a server. */
	probe: (url: string, timeoutMs: Milliseconds) => Promise<boolean>;
};

export type LinkWatch = Reach & {
	/** Pools whose servers answered this host lately, for other hosts. */
	toAnswers: (now: Milliseconds) => readonly PoolAnswer[];
	/** Notes what another host tells of the pools whose servers answered it. */
	noteAnswers: (from: string, answers: readonly PoolAnswer[]) => void;
	/** Names of the pools whose links are lost. */
	lostPools: () => readonly string[];
};

/** Time within which a probed server must accept a connection; across zones that takes a few milliseconds. */
const probeTimeoutMs: Milliseconds = 300;

/** Number of servers of a pool that one probe tries. */
const probedServers = 3;

/** Age beyond which other hosts are not told of an answer. */
const maxAnswerAgeMs: Milliseconds = 2 * msPerSecond;

/** Picks a few servers of a pool at random. */
function pickServers(servers: readonly ServerEntry[], random: Random): readonly ServerEntry[] {
	const ranked = servers.map(server => ({server, rank: random()}));
	ranked.sort((a, b) => a.rank - b.rank);
	return ranked.slice(0, probedServers).map(({server}) => server);
}

/**
 * Starts to watch the links of this host.
 *
 * @param options - See {@link WatchLinksOptions}.
 * @returns See {@link LinkWatch}.
 */
export function watchLinks({clock, random, log, toView, probe}: WatchLinksOptions): LinkWatch {
	const pools = new Map<string, PoolLinks>();
	const logged = new Set<string>();
	const peers = createPeerLinks();

	function toLinks(pool: string): PoolLinks {
		const links = pools.get(pool) ?? createPoolLinks();
		pools.set(pool, links);
		return links;
	}

	async function probePool(pool: string, links: PoolLinks): Promise<void> {
		const servers = pickServers(toView()?.accepted?.config.servers.filter(server => server.pool === pool) ?? [], random);
		links.noteProbing();
		const connected = await Promise.all(servers.map(async ({url}) => probe(url, probeTimeoutMs)));
		links.noteProbed(servers.length === 0 || connected.includes(true), clock.now());
	}

	/** Logs a change, whether a probe or an answer showed it. */
	function logChange(pool: string, links: PoolLinks, now: Milliseconds): void {
		const isLost = links.state() === 'lost';
		if (isLost === logged.has(pool)) {
			return;
		}

		if (isLost) {
			logged.add(pool);
			log.warn('no server of the pool can be reached', {pool, durationMs: Math.round(links.toSilenceMs(now))});
		} else {
			logged.delete(pool);
			log.warn('servers of the pool can be reached again', {pool});
		}
	}

	return {
		openCall: pool => toLinks(pool).open(clock.now()),
		isLost: pool => pools.get(pool)?.state() === 'lost',
		toAnswers: now => [...pools]
			.map(([pool, links]) => ({pool: toHash32(pool), ageMs: now - links.answeredAt()}))
			.filter(({ageMs}) => ageMs <= maxAnswerAgeMs)
			.toSorted((a, b) => a.ageMs - b.ageMs)
			.slice(0, maxAnswers),
		noteAnswers(from, answers) {
			peers.note(from, answers, clock.now());
		},
		pickPeer: (pool, exclude) => peers.pick(toHash32(pool), {exclude, now: clock.now(), random}),
		lostPools: () => [...pools].filter(([, links]) => links.state() === 'lost').map(([pool]) => pool),
		tick() {
			const now = clock.now();
			for (const [pool, links] of pools) {
				logChange(pool, links, now);
				if (links.isProbeDue(peers.toAnsweredAt(toHash32(pool)), now)) {
					void probePool(pool, links);
				}
			}
		},
	};
}
