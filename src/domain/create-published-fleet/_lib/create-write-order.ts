/** Order of the entries that one server writes, by the numbers that it gives them. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerId} from '../../../ports/ids.js';
import {type PublishedName, type PublishedServer} from '../../../ports/published.js';

/**
 * Time for which a higher number outweighs a later arrival. The platform carries out
 * a write up to six seconds late, and a host reads it up to two seconds after that.
 * What comes later still is no late write: another writer gave the higher number.
 */
const lateWriteMs: Milliseconds = 8000;

type Latest = {
	sequence: number;
	takenAt: Milliseconds;
	isGone: boolean;
};

export type WriteOrder = {
	/** Whether the server has written a newer entry than this, which arrived before. Such an entry is kept back. */
	isOvertaken: (server: PublishedServer, now: Milliseconds) => boolean;
	/** Records an entry that is applied; whatever was kept back under its name is dropped. */
	noteTaken: (server: PublishedServer, now: Milliseconds) => void;
	/** Records that a server is no longer used; only a write of a higher number brings it back. */
	noteGone: (id: ServerId) => void;
	/** Names of entries that are kept back. */
	keptBack: () => Iterable<PublishedName>;
	/** Drops the entry that is kept back under a name, as the platform no longer publishes it. */
	dropKeptBack: (name: PublishedName) => void;
	/** Takes the entries that were kept back and still are what the platform publishes, although no late write can be that late. */
	takeDue: (now: Milliseconds) => PublishedServer[];
};

/**
 * Creates the order of a host that has read no entry. Starts of a server have ids of
 * their own, so that each begins anew.
 *
 * @returns Functions that compare and record entries; `now` is monotonic milliseconds.
 */
export function createWriteOrder(): WriteOrder {
	/** In the order in which the numbers were taken. */
	const latest = new Map<ServerId, Latest>();
	const keptBack = new Map<PublishedName, PublishedServer>();

	const isRecent = ({takenAt}: Latest, now: Milliseconds): boolean => now - takenAt <= lateWriteMs;

	function forgetOld(now: Milliseconds): void {
		for (const [id, write] of latest) {
			if (isRecent(write, now)) {
				return;
			}

			latest.delete(id);
		}
	}

	function isLower({entry, sequence}: PublishedServer, now: Milliseconds): boolean {
		const known = latest.get(entry.id);
		if (known === undefined || sequence === undefined || !isRecent(known, now)) {
			return false;
		}

		return sequence < known.sequence || (known.isGone && sequence === known.sequence);
	}

	return {
		isOvertaken(server, now) {
			if (!isLower(server, now)) {
				return false;
			}

			keptBack.set(server.name, server);
			return true;
		},
		noteTaken({name, entry, sequence}, now) {
			keptBack.delete(name);
			forgetOld(now);
			const known = latest.get(entry.id);
			if (sequence !== undefined && (known === undefined || sequence > known.sequence)) {
				latest.delete(entry.id);
				latest.set(entry.id, {sequence, takenAt: now, isGone: false});
			}
		},
		noteGone(id) {
			const known = latest.get(id);
			if (known !== undefined) {
				latest.set(id, {...known, isGone: true});
			}
		},
		keptBack: () => keptBack.keys(),
		dropKeptBack(name) {
			keptBack.delete(name);
		},
		takeDue(now) {
			const due = [...keptBack.values()].filter(server => !isLower(server, now));
			for (const {name} of due) {
				keptBack.delete(name);
			}

			return due;
		},
	};
}
