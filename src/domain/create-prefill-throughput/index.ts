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
const initialTokensPerMs = 20;

/** Weight of the newest prompt. Hearsay of other hosts is some milliseconds late, so a server thought idle may not have been. */
const gain = 0.2;

/** Shorter calls say more of the network than of the server. */
const minCallMs: Milliseconds = 5;

/**
 * Creates the record of one host.
 *
 * @returns Functions that note and tell.
 *
 * @example
 * ```ts
 * const pace = createPrefillThroughput();
 * pace.note('p1', 3000, 100);
 * pace.read('p1'); // => 30
 * ```
 */
export function createPrefillThroughput(): PrefillThroughput {
	const throughputs = new Map<ServerId, number>();
	/** Of all servers, for those that have computed nothing yet. */
	let overall: number | undefined;
	return {
		note(server, promptTokens, tookMs) {
			const measured = promptTokens / Math.max(minCallMs, tookMs);
			const known = throughputs.get(server);
			throughputs.set(server, known === undefined ? measured : known + (gain * (measured - known)));
			overall = overall === undefined ? measured : overall + (gain * (measured - overall));
		},
		read: server => throughputs.get(server) ?? overall ?? initialTokensPerMs,
		forget(server) {
			throughputs.delete(server);
		},
	};
}
