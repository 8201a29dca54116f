/** Who is suspected, and who is declared dead. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type HostId, type ZoneId} from '../../../ports/ids.js';
import {type Records} from './create-records.js';
import {type Targets} from './create-targets.js';
import {type ZoneContactTimes} from './create-zone-contact-times.js';
import {type HostRecord} from './types.js';

/** Two hosts must have had no answer themselves, where there are two. */
const minWitnesses = 2;

export type FailureDetector = {
	/** Whether a zone has too few hosts to judge by itself, so that bridges of other zones are its jurors. */
	needsRemoteObservers: (id: HostId) => boolean;
	/** Hosts that could say now whether a host is there; those behind a cut cannot. */
	reachableObservers: (id: HostId, now: Milliseconds) => HostRecord[];
	/** Zones that nobody here has heard for long. */
	staleZones: (now: Milliseconds) => ZoneId[];
	/** Hosts did not answer this host; returns the records that must be told at once. */
	suspect: (ids: readonly HostId[], now: Milliseconds) => HostRecord[];
	/** Declares dead whom it is time for; returns their records. `slowness` is by how much this process is itself late. */
	declareDead: (now: Milliseconds, slowness: number) => HostRecord[];
};

/**
 * Creates it.
 *
 * @param input - Tables, who we are, and patience in milliseconds.
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

	function needsJurors(id: HostId): boolean {
		const zone = records.get(id)?.zone;
		return targets.observers(id).some(observer => observer.zone !== zone);
	}

	function suspectOne(id: HostId, now: Milliseconds): HostRecord[] {
		const record = records.get(id);
		if (!record || record.life === 'dead' || record.life === 'left') {
			return [];
		}

		const change = records.merge({...record, life: 'suspect', witnesses: [...new Set([...record.witnesses, ownId])]}, now);
		// A juror's verdict counts only where the suspect's own zone hears it. Gossip
		// may spend its few sends elsewhere, and digests do not cover witnesses: a
		// dead host would stay suspect. A juror of another zone therefore says it
		// each time that it finds the suspect gone.
		const isTold = needsJurors(id) && (change !== 'none' || record.zone !== ownZone);
		return isTold ? [records.get(id)!] : [];
	}

	return {
		needsRemoteObservers: needsJurors,
		reachableObservers,
		staleZones,
		suspect: (ids, now) => ids.flatMap(id => suspectOne(id, now)),
		// Only a host's own zone buries it: from another zone a cut looks the same as
		// the death of all, and the work of hosts behind a cut must be left alone.
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
