/** Estimates the throughput of prefill servers, from prompts that were sent to an idle server. */
import {type ServerId} from '../../ports/ids.js';
import {type Milliseconds} from '../../ports/clock.js';

export type PrefillThroughput = {
	/** Records a prompt computed by a server that was idle, as far as this host knows. */
	note: (server: ServerId, promptTokens: number, tookMs: Milliseconds) => void;
	/** Estimated throughput, tokens per millisecond. */
	read: (server: ServerId) => number;
	forget: (server: ServerId) => void;
};

/**
 * Throughput assumed before the first prompt, tokens per millisecond. If it is too
 * low, servers seem busy for longer than they are and get too little work; if it is
 * too high, a burst goes to one server. The first few prompts correct both.
 */
const initialTokensPerMs = 20;

/** Weight of the newest prompt. It is low because loads from other hosts arrive some milliseconds late, so that the server may not have been idle. */
const gain = 0.2;

/** Lower bound of the measured time, milliseconds; shorter calls depend more on the network than on the server. */
const minCallMs: Milliseconds = 5;

/**
 * Creates the record of one host.
 *
 * @returns See {@link PrefillThroughput}.
 *
 * @example
 * ```ts
 * const throughput = createPrefillThroughput();
 * throughput.note('p1', 3000, 100);
 * throughput.read('p1'); // => 30
 * ```
 */
export function createPrefillThroughput(): PrefillThroughput {
	const throughputs = new Map<ServerId, number>();
	/** Moving average over all servers, used for servers without prompts. */
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
