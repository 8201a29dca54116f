/** From which pools the other hosts have had answers lately, as they tell each other. */
import {type Milliseconds, type Random} from '../../ports/clock.js';
import {type PoolAnswer} from '../../ports/shared-loads.js';
import {msPerSecond} from '../../ports/units.js';

export type PeerLinks = {
	/** Notes what a host tells of itself; each message replaces the one before. */
	note: (address: string, answers: readonly PoolAnswer[], now: Milliseconds) => void;
	/** Latest time at which another host had an answer from the pool. */
	toAnsweredAt: (pool: number) => Milliseconds;
	/** Picks a host that had an answer from the pool lately, one of those heard just now if there are any; `undefined` if there is none. */
	pick: (pool: number, options: {exclude: ReadonlySet<string>; now: Milliseconds; random: Random}) => string | undefined;
};

/** Age beyond which an answer no longer shows that a host reaches the pool; a host of a large fleet is heard each second. */
const maxAgeMs: Milliseconds = 2 * msPerSecond;

/** Age up to which a message shows that its host can be reached. Hosts of a small fleet send each half second, and some of a large one at any time. */
const freshMs: Milliseconds = 600;

/** Age after which hosts and answers are forgotten. */
const forgetMs: Milliseconds = 10 * msPerSecond;

type Told = {at: Milliseconds; answeredAt: ReadonlyMap<number, Milliseconds>};

/**
 * Creates the record of a host that has heard no other.
 *
 * @returns Functions that record messages and pick hosts; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const peers = createPeerLinks();
 * peers.note('10.0.0.2:7380', [{pool: 7, ageMs: 20}], 1000);
 * peers.pick(7, {exclude: new Set(), now: 1100, random: Math.random}); // => '10.0.0.2:7380'
 * ```
 */
export function createPeerLinks(): PeerLinks {
	const hosts = new Map<string, Told>();
	const latest = new Map<number, Milliseconds>();

	function forgetOld(now: Milliseconds): void {
		for (const [address, {at}] of hosts) {
			if (now - at > forgetMs) {
				hosts.delete(address);
			}
		}

		for (const [pool, answeredAt] of latest) {
			if (now - answeredAt > forgetMs) {
				latest.delete(pool);
			}
		}
	}

	return {
		note(address, answers, now) {
			const answeredAt = new Map(answers.map(({pool, ageMs}) => [pool, now - ageMs]));
			hosts.set(address, {at: now, answeredAt});
			for (const [pool, at] of answeredAt) {
				latest.set(pool, Math.max(at, latest.get(pool) ?? -Infinity));
			}

			forgetOld(now);
		},
		toAnsweredAt: pool => latest.get(pool) ?? -Infinity,
		pick(pool, {exclude, now, random}) {
			const reaching = [...hosts].filter(([address, {answeredAt}]) => !exclude.has(address) && now - (answeredAt.get(pool) ?? -Infinity) <= maxAgeMs);
			const fresh = reaching.filter(([, {at}]) => now - at <= freshMs);
			const candidates = fresh.length > 0 ? fresh : reaching;
			return candidates[Math.floor(random() * candidates.length)]?.[0];
		},
	};
}
