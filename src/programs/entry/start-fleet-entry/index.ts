/** The entry of a host that also runs an agent; the entries of the fleet share their claims. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type EntrySettings} from '../../_settings/index.js';
import {startEntry, type Entry, type EntryOptions} from '../start-entry/index.js';
import {joinFleet, type JoinFleetOptions} from '../_lib/join-fleet.js';

export type FleetEntryOptions = Omit<EntryOptions, 'settings' | 'join'> & Pick<JoinFleetOptions, 'connectView'> & {
	settings: EntrySettings;
	/** Maximum difference between a caller's clock and a host's; see the claims. */
	clockBoundMs?: Milliseconds;
};

/**
 * Starts the entry.
 *
 * @param options - Settings and ports; see {@link EntryOptions}.
 * @returns The running entry once it listens.
 */
export async function startFleetEntry(options: FleetEntryOptions): Promise<Entry> {
	return startEntry({...options, join: async joined => joinFleet({...options, ...joined})});
}
