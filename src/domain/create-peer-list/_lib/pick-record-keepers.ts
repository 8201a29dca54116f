import {type ZoneId} from '../../../ports/ids.js';
import {type NamedPeer} from '../../../ports/shared-loads.js';
import {rankAcrossZones} from '../../rank-across-zones/index.js';

/**
 * Keepers of a record in a large fleet, each of another zone. A host that is asked
 * for the record asks the same ones.
 */
const keepersOfRecord = 3;

export type RecordKeeperOptions = {
	/** `IP:port` of this host. */
	self: string;
	zone: ZoneId;
	/** The other hosts. */
	others: readonly NamedPeer[];
	/** Whether there are too many hosts for each to send to all others. */
	isLarge: boolean;
};

/**
 * Picks the hosts that keep a record beside this one: all others of a small fleet.
 * In a large one a few of all zones, and one of the own zone, which can be asked
 * while the zone is cut off.
 *
 * @param key - Key of the record.
 * @param options - See {@link RecordKeeperOptions}.
 * @returns Addresses, without that of this host.
 */
export function pickRecordKeepers(key: string, {self, zone, others, isLarge}: RecordKeeperOptions): readonly string[] {
	if (!isLarge) {
		return others.map(({address}) => address);
	}

	const all = [...others, {address: self, zone}];
	const ofZone = all.filter(host => host.zone === zone);
	const picked = new Set([...rankAcrossZones(key, all, keepersOfRecord), ...rankAcrossZones(key, ofZone, 1)]);
	picked.delete(self);
	return [...picked];
}
