/**
 * Anti-entropy between tables that differ: gossip alone may miss a host that was
 * cut off or has just started. Zone hashes are compared first, then the host
 * hashes of zones that differ, then the records, so that equal tables cost nothing.
 */
import {type Milliseconds} from '../../../ports/clock.js';
import {type HostId, type ZoneId} from '../../../ports/ids.js';
import {type Records} from './create-records.js';
import {type HostRecord, type SyncBody} from './types.js';

/** Records in one message; the rest follow with the next comparison. */
const recordsInMessage = 64;

export type Sync = {
	/** The hash of each zone's records. */
	zones: () => Readonly<Record<ZoneId, number>>;
	/** Returns the body and the records to send back; `undefined` when there is nothing to send. */
	answer: (message: SyncBody) => {body: SyncBody; updates: readonly HostRecord[]} | undefined;
	/** Records the digest of a host. Returns whether a comparison is due: the digests have differed for `minGapMs`, and none was begun within `minGapMs`. */
	noteDigest: (from: HostId, digest: number, now: Milliseconds) => boolean;
};

/**
 * Creates the table comparison of one host.
 *
 * @param options - `records`: the table. `minGapMs`: minimum time between two
 * comparisons that this host begins, milliseconds.
 * @returns See {@link Sync}.
 */
export function createSync({records, ownId, minGapMs}: {records: Records; ownId: HostId; minGapMs: Milliseconds}): Sync {
	let differsSince: {from: HostId; at: Milliseconds} | undefined;
	let begunAt = -Infinity;

	function zones(): Readonly<Record<ZoneId, number>> {
		return Object.fromEntries(records.zones().map(zone => [zone, records.zoneDigest(zone)]));
	}

	function toStamps(theirs: Readonly<Record<ZoneId, number>>): Readonly<Record<HostId, number>> {
		const known = records.zones().filter(zone => theirs[zone] !== records.zoneDigest(zone));
		return Object.fromEntries(known.flatMap(zone => records.ofZone(zone).map(({id}) => [id, records.stamp(id)!])));
	}

	/** Returns the own records that differ from the other host's stamps, and the hosts to request: those that are unknown here or differ. */
	function toDifference(stamps: Readonly<Record<HostId, number>>): {updates: HostRecord[]; wanted: HostId[]} {
		const differing = Object.keys(stamps).filter(id => stamps[id] !== records.stamp(id)).slice(0, recordsInMessage);
		const updates = [ownId, ...differing].map(id => records.get(id)).filter(record => record !== undefined);
		return {updates, wanted: differing};
	}

	return {
		zones,
		answer(message) {
			switch (message.kind) {
				case 'zones': {
					return {body: {kind: 'stamps', stamps: toStamps(message.zones)}, updates: []};
				}

				case 'stamps': {
					const {updates, wanted} = toDifference(message.stamps);
					return {body: {kind: 'records', wanted}, updates};
				}

				case 'records': {
					const updates = message.wanted.slice(0, recordsInMessage).map(id => records.get(id)).filter(record => record !== undefined);
					return updates.length > 0 ? {body: {kind: 'records', wanted: []}, updates} : undefined;
				}
			}
		},
		noteDigest(from, digest, now) {
			if (digest === records.digest()) {
				differsSince = differsSince?.from === from ? undefined : differsSince;
				return false;
			}

			// Updates in flight make tables differ for a moment.
			differsSince ??= {from, at: now};
			const isDue = now - differsSince.at >= minGapMs && now - begunAt >= minGapMs;
			if (isDue) {
				begunAt = now;
				differsSince = undefined;
			}

			return isDue;
		},
	};
}
