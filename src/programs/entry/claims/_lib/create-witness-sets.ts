import {pickWitnesses, type WitnessSet} from '../../../../domain/pick-witnesses/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type HostEntry} from '../../../../ports/config.js';

/** Lists in force during the time for which keys are kept; more changes within it drop the oldest. */
const maxLists = 4;

type HostList = {
	hosts: readonly HostEntry[];
	fingerprint: string;
	/** When the next list took its place; `undefined` for the present one. */
	replacedAt: Milliseconds | undefined;
};

export type WitnessSets = {
	/** Tells the host list of the accepted configuration; the same one again changes nothing. */
	setHosts: (hosts: readonly HostEntry[], now: Milliseconds) => void;
	/** Witnesses of a key, by the present list and by those that a key still in use may have been claimed by. */
	pick: (scopedText: string, now: Milliseconds) => WitnessSet[];
};

function toFingerprint(hosts: readonly HostEntry[]): string {
	return hosts.map(({id, zone}) => `${zone}/${id}`).sort().join(',');
}

/**
 * Follows the host list. A key claimed by an earlier list and sent again after
 * a change could find other witnesses, none of which knows it; it would run
 * twice. While such keys are in use, a claim needs a quorum by both lists.
 *
 * @param keyLifetimeMs - Longest age at which a key is still taken.
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
		pick(scopedText, now) {
			const inUse = lists.filter(list => list.replacedAt === undefined || now - list.replacedAt < keyLifetimeMs);
			const sets = inUse.map(list => pickWitnesses(scopedText, list.hosts));
			const isFirstOfItsSlots = (set: WitnessSet, i: number) => sets.findIndex(other => other.slots.join(',') === set.slots.join(',')) === i;
			return sets.filter((set, i) => set.slots.length > 0 && isFirstOfItsSlots(set, i));
		},
	};
}
