/** The limits that servers state in their answers, as one host knows them from its own calls and from other hosts. */
import {type Milliseconds} from '../../ports/clock.js';
import {type ServerId} from '../../ports/ids.js';
import {type SharedLimit, type StatedLimit} from '../../ports/request-limits.js';
import {msPerSecond} from '../../ports/units.js';

export type RequestLimits = {
	/** Records what an answer states; returns whether that changed the known limit. */
	noteAnswer: (server: ServerId, stated: StatedLimit, calledAt: Milliseconds) => boolean;
	/** Merges what another host tells; returns the servers whose known limit changed. */
	merge: (shared: readonly SharedLimit[], now: Milliseconds) => readonly ServerId[];
	/** Requests a second that the server takes; `undefined` without a limit. */
	toPerSecond: (server: ServerId, now: Milliseconds) => number | undefined;
	/** Time since the call began whose answer last stated something; `undefined` if nothing is known. */
	toAgeMs: (server: ServerId, now: Milliseconds) => Milliseconds | undefined;
	/** Limits and ends of limits for other hosts, the latest first. */
	toShared: (now: Milliseconds) => readonly SharedLimit[];
};

type Known = {perSecond: number | undefined; statedAt: Milliseconds};

/**
 * Lowest limit that is kept. Only an answer can tell that a limit has ended, so a
 * server that states none at all to be left still gets a request every five seconds.
 */
const minPerSecond = 0.2;

/** Time after which a limit that no answer repeated is forgotten. */
const keepMs: Milliseconds = 60 * msPerSecond;

/** Time by which what another host tells must be newer than what is known: a report that comes back has aged by its way. */
const echoMs: Milliseconds = 50;

/** Maximum number of servers whose limits are kept. */
const maxServers = 4096;

/** Maximum number of limits in a message to other hosts. */
const maxShared = 8;

/**
 * Creates the record of one host.
 *
 * @returns See {@link RequestLimits}; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const limits = createRequestLimits();
 * limits.noteAnswer('a', 4.8, 0); // => true
 * limits.toPerSecond('a', 10); // => 4.8
 * limits.noteAnswer('a', 'none', 20); // => true
 * limits.toPerSecond('a', 30); // => undefined
 * ```
 */
export function createRequestLimits(): RequestLimits {
	/** Servers in the order in which they stated something, the latest last. */
	const known = new Map<ServerId, Known>();

	function note(server: ServerId, perSecond: number | undefined, {statedAt, newerByMs}: {statedAt: Milliseconds; newerByMs: Milliseconds}): boolean {
		const before = known.get(server);
		// Answers overtake each other: that of the later call holds.
		const isNews = before === undefined ? perSecond !== undefined : statedAt > before.statedAt + newerByMs;
		if (!isNews) {
			return false;
		}

		known.delete(server);
		known.set(server, {perSecond, statedAt});
		if (known.size > maxServers) {
			const [oldest] = known.keys();
			known.delete(oldest!);
		}

		return before?.perSecond !== perSecond;
	}

	function dropOld(now: Milliseconds): void {
		for (const [server, {statedAt}] of known) {
			if (now - statedAt > keepMs) {
				known.delete(server);
			}
		}
	}

	return {
		noteAnswer(server, stated, calledAt) {
			return stated !== 'unreadable' && note(server, stated === 'none' ? undefined : Math.max(minPerSecond, stated), {statedAt: calledAt, newerByMs: 0});
		},
		merge(shared, now) {
			return shared.filter(({server, perSecond, ageMs}) => note(server, perSecond, {statedAt: now - ageMs, newerByMs: echoMs})).map(({server}) => server);
		},
		toPerSecond(server, now) {
			const entry = known.get(server);
			return entry === undefined || now - entry.statedAt > keepMs ? undefined : entry.perSecond;
		},
		toAgeMs(server, now) {
			const entry = known.get(server);
			return entry && now - entry.statedAt;
		},
		toShared(now) {
			dropOld(now);
			return [...known].slice(-maxShared).toReversed().map(([server, {perSecond, statedAt}]) => ({server, perSecond, ageMs: now - statedAt}));
		},
	};
}
