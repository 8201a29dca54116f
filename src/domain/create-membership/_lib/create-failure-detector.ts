/** Decides which hosts are suspected, and which are declared dead. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type HostId, type ZoneId} from '../../../ports/ids.js';
import {type Records} from './create-records.js';
import {type Targets} from './create-targets.js';
import {type ZoneContactTimes} from './create-zone-contact-times.js';
import {type HostRecord} from './types.js';

/** Hosts that must each have probed a suspect without an answer before it is declared dead; fewer where fewer can probe it. */
const minWitnesses = 2;

export type FailureDetector = {
	/** Whether the zone of the host has too few hosts to confirm a failure by itself, so that bridges of other zones are among its observers. */
	needsRemoteObservers: (id: HostId) => boolean;
	/** Hosts that can probe the given host now; hosts of stale zones cannot. */
	reachableObservers: (id: HostId, now: Milliseconds) => HostRecord[];
	/** Zones from which no host of this zone has had a message within the zone timeout. */
	staleZones: (now: Milliseconds) => ZoneId[];
	/** Marks hosts that did not answer this host as suspect; returns the records to send at once. */
	suspect: (ids: readonly HostId[], now: Milliseconds) => HostRecord[];
	/** Declares suspects dead whose suspicion timeout has passed; returns their records. `slowness` lengthens the timeout by how late this process itself runs. */
	declareDead: (now: Milliseconds, slowness: number) => HostRecord[];
};

/**
 * Creates the failure detector of one host.
 *
 * @param input - Tables, the own host and zone, and timeouts in milliseconds.
 * @returns See {@link FailureDetector}.
 */
export function createFailureDetector({records, targets, contacts, ownId, ownZone, suspicionMs, zoneTimeoutMs}: {
	records: Records;
	targets: Targets;
	contacts: ZoneContactTimes;
	ownId: HostId;
	ownZone: ZoneId;
	suspicionMs: Milliseconds;
	zoneTimeoutMs: Milliseconds;
}): FailureDetector {
	function staleZones(now: Milliseconds): ZoneId[] {
		return contacts.staleZones(records.zones().filter(zone => zone !== ownZone), now, zoneTimeoutMs);
	}

	function reachableObservers(id: HostId, now: Milliseconds): HostRecord[] {
		const stale = staleZones(now);
		return targets.observers(id).filter(({zone}) => !stale.includes(zone));
	}

	function needsRemoteObservers(id: HostId): boolean {
		const zone = records.get(id)?.zone;
		return targets.observers(id).some(observer => observer.zone !== zone);
	}

	function suspectOne(id: HostId, now: Milliseconds): HostRecord[] {
		const record = records.get(id);
		if (!record || record.life === 'dead' || record.life === 'left') {
			return [];
		}

		const change = records.merge({...record, life: 'suspect', witnesses: [...new Set([...record.witnesses, ownId])]}, now);
		// Only the suspect's own zone declares it dead, so a witness counts only once that
		// zone has its record. Gossip may spend its few sends on other hosts, and digests do
		// not cover witnesses: a dead host would stay suspect. An observer of another zone
		// therefore sends the record after each failed probe.
		const isTold = needsRemoteObservers(id) && (change !== 'none' || record.zone !== ownZone);
		return isTold ? [records.get(id)!] : [];
	}

	return {
		needsRemoteObservers,
		reachableObservers,
		staleZones,
		suspect: (ids, now) => ids.flatMap(id => suspectOne(id, now)),
		// Only a host's own zone declares it dead: seen from another zone, a partition looks
		// the same as the death of all hosts, and work of hosts behind a partition must be left alone.
		declareDead(now, slowness) {
			const timeoutMs = suspicionMs * (1 + (slowness / 2));
			const dead = records.ofZone(ownZone).filter(({id, life, witnesses}) => life === 'suspect'
				&& now - records.suspectSince(id) >= timeoutMs
				&& witnesses.length >= Math.min(minWitnesses, reachableObservers(id, now).length));
			const declared = dead.map(record => ({...record, life: 'dead' as const, witnesses: []}));
			for (const record of declared) {
				records.merge(record, now);
			}

			return declared;
		},
	};
}
