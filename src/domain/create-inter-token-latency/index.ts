/**
 * Estimates the time between tokens of each decode server, from this host's own
 * streams, whose weight decays, and from the server's reports.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type ServerId} from '../../ports/ids.js';
import {msPerSecond} from '../../ports/units.js';

export type InterTokenLatencyOptions = {
	/** Half-life of the weight of observations, milliseconds. */
	halfLifeMs?: Milliseconds;
};

/** Consecutive tokens of one stream. */
export type ObservedTokens = {
	tokens: number;
	/** Time from the token before the first of them to the last, milliseconds. */
	tookMs: Milliseconds;
};

type Track = {stepMs: Milliseconds; weight: number; at: Milliseconds};

const defaultHalfLifeMs = 10 * msPerSecond;

/** Observed time of one stream that has the same weight as a server's report, milliseconds. */
const msPerWeight = 500;

/** Maximum weight of observations, relative to 1 for a report; a higher weight would delay the reaction to changes. */
const maxWeight = 4;

/**
 * Creates the record of one host. A slow server is expected to stay slow as long as
 * its streams show it. When the host avoids the server and has no more streams there,
 * the weight of the observations decays and the report counts again, so that the
 * server gets work back gradually, short answers first. If the server is still slow,
 * the first of these streams show it within a second.
 *
 * @param options - See {@link InterTokenLatencyOptions}.
 * @returns Functions that record tokens, and that read the expected time between two tokens.
 *
 * @example
 * const latency = createInterTokenLatency();
 * latency.note('d1', {tokens: 100, tookMs: 8000}, 0);
 * latency.read('d1', 20, 0); // 68
 * latency.read('d1', 20, 60_000); // 23
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
			// New observations have their full weight; older ones are reduced so that the sum stays within the maximum.
			const kept = track === undefined ? 0 : Math.min(toWeight(track, now), maxWeight - weight);
			tracks.set(server, {
				stepMs: ((kept * (track?.stepMs ?? 0)) + (weight * stepMs)) / (kept + weight), weight: kept + weight, at: now,
			});
		},
		/**
		 * @param server - The server.
		 * @param reportedMs - Time between two tokens in its last report, or the assumed time without a report.
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
		/** Drops the state of a server that is no longer published. */
		forget(server: ServerId): void {
			tracks.delete(server);
		},
		/** Servers with state. */
		servers: (): Iterable<ServerId> => tracks.keys(),
	};
};

export type InterTokenLatency = ReturnType<typeof createInterTokenLatency>;
