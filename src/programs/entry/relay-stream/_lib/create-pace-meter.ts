import {type ObservedTokens} from '../../../../domain/create-inter-token-latency/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';

/** How often a stream tells of its tokens, milliseconds: soon enough to turn the next requests away, and seldom against the cost of a token. */
const noteEveryMs = 500;

/**
 * Measures how the tokens of one stream come, in samples.
 *
 * @param now - Monotonic milliseconds.
 * @param note - Gets each sample at its end.
 * @returns Functions to call at each piece, and where the time that passes is not the server's.
 */
export function createPaceMeter(now: () => Milliseconds, note: (seen: ObservedTokens) => void) {
	let startedAt: Milliseconds | undefined;
	let lastAt = 0;
	let tokens = 0;

	function end(): void {
		if (startedAt !== undefined && tokens > 0) {
			note({tokens, tookMs: lastAt - startedAt});
		}

		tokens = 0;
	}

	return {
		/** Tokens came. The first of a sample only start the clock: what they waited for is not known. */
		add(count: number): void {
			lastAt = now();
			if (startedAt === undefined) {
				startedAt = lastAt;
				return;
			}

			tokens += count;
			if (lastAt - startedAt >= noteEveryMs) {
				end();
				startedAt = lastAt;
			}
		},
		/** Ends the sample: the stream has ended or broken, or its reader was kept waiting by the caller. */
		stop(): void {
			end();
			startedAt = undefined;
		},
	};
}

export type PaceMeter = ReturnType<typeof createPaceMeter>;
