import {type ObservedTokens} from '../../../../domain/create-inter-token-latency/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';

/** Length of a sample, milliseconds: short enough to steer the next requests away from a slow server, and long enough that sampling costs little per token. */
const sampleIntervalMs = 500;

/**
 * Measures the rate of tokens of one stream, in samples.
 *
 * @param now - Monotonic milliseconds.
 * @param onSample - Gets each sample at its end.
 * @returns Functions to call at each chunk, and when time passes that must not count as the server's.
 */
export function createPaceMeter(now: () => Milliseconds, onSample: (seen: ObservedTokens) => void) {
	let startedAt: Milliseconds | undefined;
	let lastAt = 0;
	let tokens = 0;

	function endSample(): void {
		if (startedAt !== undefined && tokens > 0) {
			onSample({tokens, tookMs: lastAt - startedAt});
		}

		tokens = 0;
	}

	return {
		/** Counts received tokens. The first ones of a sample only start its clock, because their waiting time is not known. */
		add(count: number): void {
			lastAt = now();
			if (startedAt === undefined) {
				startedAt = lastAt;
				return;
			}

			tokens += count;
			if (lastAt - startedAt >= sampleIntervalMs) {
				endSample();
				startedAt = lastAt;
			}
		},
		/** Ends the sample, because the stream has ended or broken, or because reading stops until the caller has caught up. */
		stop(): void {
			endSample();
			startedAt = undefined;
		},
	};
}

export type PaceMeter = ReturnType<typeof createPaceMeter>;
