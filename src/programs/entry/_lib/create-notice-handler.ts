/** Handles notices that servers send about themselves in their answers. */
import {type Log} from '../../../adapters/log/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type ServerId} from '../../../ports/ids.js';
import {type ServerNotice} from '../../../ports/server-calls.js';

/** Bound of the set of servers whose leaving was logged already; the set keeps each from being logged again. */
const maxLoggedServers = 1024;

export type NoticeHandlerOptions = {
	log: Log;
	/** Tells the fleet that a server announced that it leaves. */
	reportLeaving: (server: ServerId) => void;
	/** Records for how long a server asks this host to back off; `true` if no earlier request to back off is still in force. */
	notePause: (server: ServerId, pauseMs: Milliseconds) => boolean;
};

/**
 * Creates the handler of server notices.
 *
 * @param options - Log, and where notices are passed on to.
 * @returns Function that handles one notice of one server.
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

	return ({id}, {isLeaving, backoffMs}) => {
		if (isLeaving) {
			handleLeaving(id);
		}

		if (backoffMs !== undefined && notePause(id, backoffMs)) {
			log.info('server asks to back off', {server: id, durationMs: Math.round(backoffMs)});
		}
	};
}
