/** What servers say of themselves in their answers. */
import {type Log} from '../../../adapters/log/index.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type ServerId} from '../../../ports/ids.js';
import {type ServerNotice} from '../../../ports/server-calls.js';

/** Servers of which it is kept that their word was told of. */
const maxTold = 1024;

export type NoticesOptions = {
	log: Log;
	/** Takes a server's word that it leaves. */
	reportLeaving: (server: ServerId) => void;
};

/**
 * Creates the function that takes notices.
 *
 * @param options - What to do with the first of each server.
 * @returns The function.
 */
export function createNotices({log, reportLeaving}: NoticesOptions): (server: ServerEntry, notice: ServerNotice) => void {
	const told = new Set<ServerId>();
	return ({id}, {isLeaving}) => {
		if (!isLeaving || told.has(id)) {
			return;
		}

		if (told.size >= maxTold) {
			told.clear();
		}

		told.add(id);
		log.info('server says that it leaves', {server: id});
		reportLeaving(id);
	};
}
