/** What servers say of themselves in their answers. */
import {type Log} from '../../../adapters/log/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type ServerId} from '../../../ports/ids.js';
import {type ServerNotice} from '../../../ports/server-calls.js';

/** Servers whose leaving was logged, so that it is logged once. */
const maxLoggedServers = 1024;

export type NoticeHandlerOptions = {
	log: Log;
	/** Takes a server's own notice that it leaves. */
	reportLeaving: (server: ServerId) => void;
	/** Takes the time for which a server asks this host to back off; tells whether it did not do so already. */
	notePause: (server: ServerId, pauseMs: Milliseconds) => boolean;
};

/**
 * Creates the function that takes notices.
 *
 * @param options - What to do with them.
 * @returns The function.
 */
export function createNoticeHandler({log, reportLeaving, notePause}: NoticeHandlerOptions): (server: ServerEntry, notice: ServerNotice) => void {
	const loggedServers = new Set<ServerId>();

	function handleLeaving(id: ServerId): void {
		if (loggedServers.has(id)) {
			return;
		}

		if (loggedServers.size >= maxLoggedServers) {
			loggedServers.clear();
		}

		loggedServers.add(id);
		log.info('server says that it leaves', {server: id});
		reportLeaving(id);
	}

	return ({id}, {isLeaving, backoffMs: pauseMs}) => {
		if (isLeaving) {
			handleLeaving(id);
		}

		if (pauseMs !== undefined && notePause(id, pauseMs)) {
			log.info('server asks to back off', {server: id, durationMs: Math.round(pauseMs)});
		}
	};
}
