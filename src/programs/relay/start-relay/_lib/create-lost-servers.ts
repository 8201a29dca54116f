/** Attributes the end of a server that is published no more to the requests that ran there. */
import {type Log} from '../../../../adapters/log/index.js';
import {type CrashSuspects} from '../../../../domain/create-crash-suspects/index.js';
import {type PartQuarantine} from '../../../../domain/create-part-quarantine/index.js';
import {defaultLingerMs} from '../../../../domain/create-unresolved-runs/index.js';
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
 * Creates the handler of servers whose entries were removed. The servers of a zone
 * that is cut off may live on. A server that had announced that it leaves may have
 * ended as planned, and lived when it announced it: only runs count whose connections
 * were open then or later.
 *
 * @param options - See {@link LostServersOptions}.
 * @returns Function that handles one server, with the time by which it had announced that it leaves, if it had.
 */
export function createLostServers({suspects, partQuarantine, clock, log, isZoneSilent}: LostServersOptions): (server: Pick<ServerEntry, 'id' | 'zone'>, leavingSince?: Milliseconds) => void {
	return ({id, zone}, leavingSince = -Infinity) => {
		const now = clock.now();
		const from = Math.max(now - entryLifetimeMs, leavingSince + defaultLingerMs);
		if (from <= now && !isZoneSilent(zone, now)) {
			noteServerEnded(id, {from, to: now}, {
				suspects, partQuarantine, now, log,
			});
		}
	};
}
