import {pickWitnesses, type WitnessSet} from '../../../../domain/pick-witnesses/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type HostEntry} from '../../../../ports/config.js';

/** Bound on the host lists that are remembered; further changes within the lifetime of a key drop the oldest list. */
const maxLists = 4;

type HostList = {
	hosts: readonly HostEntry[];
	fingerprint: string;
	/** When the next list replaced this one; `undefined` for the current list. */
	replacedAt: Milliseconds | undefined;
};

export type WitnessSets = {
	/** Sets the host list of the accepted configuration; an unchanged list has no effect. */
	setHosts: (hosts: readonly HostEntry[], now: Milliseconds) => void;
	/** Returns the witnesses of a key by the current list, and by each earlier list under which a key that is still valid may have been claimed. */
	pick: (scopedKey: string, now: Milliseconds) => WitnessSet[];
};

function toFingerprint(hosts: readonly HostEntry[]): string {
	return hosts.map(({id, zone}) => `${zone}/${id}`).sort().join(',');
}

/**
 * Tracks the host list. If a key was claimed under an earlier list and is sent
 * again after a change, the new list may give it other witnesses, none of which
 * knows the key, and the work would run twice. While such keys are valid, a claim
 * needs a quorum by both lists.
 *
 * @param keyLifetimeMs - Greatest age at which a key is still accepted.
 * @returns Functions that close over the lists.
 */
export function createWitnessSets(keyLifetimeMs: Milliseconds): WitnessSets {
	let lists: HostList[] = [];

	return {
		setHosts(hosts, now) {
			const present = lists.at(-1);
			if (hosts === present?.hosts) {
				return;
			}

			const fingerprint = toFingerprint(hosts);
			if (fingerprint !== present?.fingerprint) {
				const earlier = lists.map(list => list === present ? {...list, replacedAt: now} : list);
				lists = [...earlier, {hosts, fingerprint, replacedAt: undefined}].slice(-maxLists);
			}
		},
		pick(scopedKey, now) {
			const inUse = lists.filter(list => list.replacedAt === undefined || now - list.replacedAt < keyLifetimeMs);
			const sets = inUse.map(list => pickWitnesses(scopedKey, list.hosts));
			const isFirstOfItsSlots = (set: WitnessSet, i: number) => sets.findIndex(other => other.slots.join(',') === set.slots.join(',')) === i;
			return sets.filter((set, i) => set.slots.length > 0 && isFirstOfItsSlots(set, i));
		},
	};
}
