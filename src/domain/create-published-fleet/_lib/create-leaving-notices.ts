/** Keeps which servers announced that they leave. */
import {type ServerId} from '../../../ports/ids.js';

/** Maximum number of notices kept, one for each start of a server; the oldest are dropped first. */
const maxNotices = 4096;

export type LeavingNotices = {
	add: (server: ServerId) => void;
	has: (server: ServerId) => boolean;
};

/**
 * Creates an empty set of notices. A notice is never withdrawn: a server that
 * leaves comes back only with a new start, which has another id.
 *
 * @returns Functions that add and look up notices.
 */
export function createLeavingNotices(): LeavingNotices {
	const notices = new Set<ServerId>();
	return {
		add(server) {
			if (notices.size >= maxNotices) {
				const [oldest] = notices;
				notices.delete(oldest!);
			}

			notices.add(server);
		},
		has: server => notices.has(server),
	};
}
