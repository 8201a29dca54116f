/** Which servers announced that they leave. */
import {type ServerId} from '../../../ports/ids.js';

/** Notices that are kept; each is of one start of a server, and the oldest go first. */
const maxNotices = 4096;

export type LeavingNotices = {
	add: (server: ServerId) => void;
	has: (server: ServerId) => boolean;
};

/**
 * Creates the memory of a host that has received no notice. A notice stands for
 * good, as a start of a server that leaves does not come back.
 *
 * @returns Functions that note and tell.
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
