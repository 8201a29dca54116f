/**
 * The time between tokens that one host expects of each decode server: what it
 * saw itself in its streams, which wears off, and what the server reports.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type ServerId} from '../../ports/ids.js';
import {msPerSecond} from '../../ports/units.js';

export type InterTokenLatencyOptions = {
	/** Time in which half of what was seen is forgotten, milliseconds. */
	halfLifeMs?: Milliseconds;
};

/** Tokens of one stream that came one after the other. */
export type ObservedTokens = {
	tokens: number;
	/** Time from the token before the first of them to the last. */
	tookMs: Milliseconds;
};

type Track = {stepMs: Milliseconds; weight: number; at: Milliseconds};

const defaultHalfLifeMs = 10 * msPerSecond;

/** Time of one stream that weighs as much as a server's report, milliseconds. */
const msPerWeight = 500;

/** Most that is remembered of a server, against 1 for its report: more would hold up the news. */
const maxWeight = 4;

/**
 * Creates the record of one host. A server that was slow is expected to be
 * slow for as long as its streams show it. Then, with no more streams to show
 * anything, what was seen wears off and the report counts again, so that the
 * server gets work back little by little, short answers first; if it is
 * still slow, the first of them tell within a second.
 *
 * @param options - See {@link InterTokenLatencyOptions}.
 * @returns Functions that note tokens and tell the time expected between two.
 *
 * @example
 * const pace = createInterTokenLatency();
 * pace.note('d1', {tokens: 100, tookMs: 8000}, 0);
 * pace.read('d1', 20, 0); // 68
 * pace.read('d1', 20, 60_000); // 23
 */
export const createInterTokenLatency = ({halfLifeMs = defaultHalfLifeMs}: InterTokenLatencyOptions = {}) => {
	const tracks = new Map<ServerId, Track>();

	const toWeight = (track: Track, now: Milliseconds): number => track.weight * (0.5 ** (Math.max(0, now - track.at) / halfLifeMs));

	return {
		note(server: ServerId, {tokens, tookMs}: ObservedTokens, now: Milliseconds): void {
			if (tokens <= 0) {
				return;
			}

			const stepMs = Math.max(0, tookMs) / tokens;
			const weight = Math.min(maxWeight, Math.max(1, tookMs) / msPerWeight);
			const track = tracks.get(server);
			// What is new counts whole; of what is old, as much as leaves room for it.
			const kept = track === undefined ? 0 : Math.min(toWeight(track, now), maxWeight - weight);
			tracks.set(server, {
				stepMs: ((kept * (track?.stepMs ?? 0)) + (weight * stepMs)) / (kept + weight), weight: kept + weight, at: now,
			});
		},
		/**
		 * @param server - The server.
		 * @param reportedMs - Time between two tokens by its last report, or what is assumed without one.
		 * @param now - Monotonic milliseconds.
		 * @returns Expected milliseconds between two tokens of one stream.
		 */
		read(server: ServerId, reportedMs: Milliseconds, now: Milliseconds): Milliseconds {
			const track = tracks.get(server);
			if (track === undefined) {
				return reportedMs;
			}

			const weight = toWeight(track, now);
			return ((weight * track.stepMs) + reportedMs) / (weight + 1);
		},
		/** Drops what is known of a server that is no longer published. */
		forget(server: ServerId): void {
			tracks.delete(server);
		},
		/** Servers with state. */
		servers: (): Iterable<ServerId> => tracks.keys(),
	};
};

export type InterTokenLatency = ReturnType<typeof createInterTokenLatency>;
