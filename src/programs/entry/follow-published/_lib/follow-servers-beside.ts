/** Follows the servers alone while a long answer arrives. */
import {type Log} from '../../../../adapters/log/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type PublishedPosition, type PublishedRead, type PublishedSource} from '../../../../ports/published.js';

export type BesideOptions = {
	source: Pick<PublishedSource, 'watchServers'>;
	log: Log;
	/** Longest wait of a watch. */
	waitMs: Milliseconds;
	/** Pause between two watches. */
	pauseMs: Milliseconds;
	sleep: (ms: Milliseconds, signal: AbortSignal) => Promise<void>;
	/** Applies a read; returns whether its position may be continued from. */
	onRead: (read: PublishedRead) => boolean;
};

/**
 * Starts to watch the servers. An answer with a large configuration takes seconds on
 * a slow link; without these reads the host would send requests to servers that
 * leave meanwhile.
 *
 * @param after - Position from which the long answer continues too.
 * @param signal - Ends the reads.
 * @param options - See {@link BesideOptions}.
 */
export async function followServersBeside(after: PublishedPosition, signal: AbortSignal, {source, log, waitMs, pauseMs, sleep, onRead}: BesideOptions): Promise<void> {
	let position = after;
	while (!signal.aborted) {
		const read = await source.watchServers(position, waitMs, signal);
		if (signal.aborted) {
			return;
		}

		if (read.isErr()) {
			const {kind, message} = read.error;
			log.info('servers can\'t be read beside a long answer', {revision: position.revision, kind, reason: message});
			return;
		}

		if (!onRead(read.value)) {
			return;
		}

		({position} = read.value);
		await sleep(pauseMs, signal);
	}
}
