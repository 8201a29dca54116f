/** Which servers said themselves that they leave. */
import {type ServerId} from '../../../ports/ids.js';

/** Words that are kept; each is of one start of a server, and the oldest go first. */
const maxWords = 4096;

export type LeavingWords = {
	add: (server: ServerId) => void;
	has: (server: ServerId) => boolean;
};

/**
 * Creates the memory of a host that has heard no server's word. A word stands for
 * good, as a start of a server that leaves does not come back.
 *
 * @returns Functions that note and tell.
 */
export function createLeavingWords(): LeavingWords {
	const words = new Set<ServerId>();
	return {
		add(server) {
			if (words.size >= maxWords) {
				const [oldest] = words;
				words.delete(oldest!);
			}

			words.add(server);
		},
		has: server => words.has(server),
	};
}
