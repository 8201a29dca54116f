/** Attributes the end of a server that is published no more to the requests that ran there. */
import {type Log} from '../../../../adapters/log/index.js';
import {type CrashSuspects} from '../../../../domain/create-crash-suspects/index.js';
import {type PartQuarantine} from '../../../../domain/create-part-quarantine/index.js';
import {type Clock, type Milliseconds} from '../../../../ports/clock.js';
import {type ServerEntry} from '../../../../ports/config.js';
import {type ZoneId} from '../../../../ports/ids.js';
import {entryLifetimeMs, noteServerEnded} from '../../../entry/_lib/quarantine.js';

export type LostServersOptions = {
	suspects: CrashSuspects;
	partQuarantine: PartQuarantine;
	clock: Clock;
	log: Log;
	/** Whether hosts of the zone were heard before, and none is heard now. */
	isZoneSilent: (zone: ZoneId, now: Milliseconds) => boolean;
};

/**
 * Creates the handler of servers whose entries were removed although they had not
 * announced that they leave. The servers of a zone that is cut off may live on.
 *
 * @param options - See {@link LostServersOptions}.
 * @returns Function that handles one server.
 */
export function createLostServers({suspects, partQuarantine, clock, log, isZoneSilent}: LostServersOptions): (server: Pick<ServerEntry, 'id' | 'zone'>) => void {
	return ({id, zone}) => {
		const now = clock.now();
		if (!isZoneSilent(zone, now)) {
			noteServerEnded(id, {from: now - entryLifetimeMs, to: now}, {
				suspects, partQuarantine, now, log,
			});
		}
	};
}
