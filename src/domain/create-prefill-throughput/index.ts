/** How fast prefill servers compute prompts, learnt from those that found their server idle. */
import {type ServerId} from '../../ports/ids.js';
import {type Milliseconds} from '../../ports/clock.js';

export type PrefillThroughput = {
	/** A prompt was computed by a server that, as far as is known, had nothing else to do. */
	note: (server: ServerId, promptTokens: number, tookMs: Milliseconds) => void;
	/** Tokens a millisecond. */
	read: (server: ServerId) => number;
	forget: (server: ServerId) => void;
};

/**
 * Tokens a millisecond before any prompt was computed. Too low a guess keeps
 * work off a server that seems busy for longer than it is, too high a one sends
 * a burst to one server; the first few prompts correct either.
 */
const firstPace = 20;

/** Weight of the newest prompt. Hearsay of other hosts is some milliseconds late, so a server thought idle may not have been. */
const gain = 0.2;

/** Shorter calls say more of the network than of the server. */
const leastMs: Milliseconds = 5;

/**
 * Creates the record of one host.
 *
 * @returns Functions that note and tell.
 *
 * @example
 * ```ts
 * const pace = createPromptPace();
 * pace.note('p1', 3000, 100);
 * pace.read('p1'); // => 30
 * ```
 */
export function createPrefillThroughput(): PrefillThroughput {
	const paces = new Map<ServerId, number>();
	/** Of all servers, for those that have computed nothing yet. */
	let common: number | undefined;
	return {
		note(server, promptTokens, tookMs) {
			const seen = promptTokens / Math.max(leastMs, tookMs);
			const known = paces.get(server);
			paces.set(server, known === undefined ? seen : known + (gain * (seen - known)));
			common = common === undefined ? seen : common + (gain * (seen - common));
		},
		read: server => paces.get(server) ?? common ?? firstPace,
		forget(server) {
			paces.delete(server);
		},
	};
}
