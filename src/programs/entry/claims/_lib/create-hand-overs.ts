import {type WitnessHandOver} from '../../../../domain/create-claim-witness/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type HostId} from '../../../../ports/ids.js';
import {msPerMinute, msPerSecond} from '../../../../ports/units.js';
import {type HandOverPart, type TakeOverReply} from './messages.js';

const claimsPerPart = 2000;
const retentionMs = 10 * msPerMinute;
/** Long enough for a successor to ask for the parts again after a reply was lost. */
const takenRetentionMs = 30 * msPerSecond;
const maxTables = 8;

/** Tables of witnesses that have left, stored for their successors. */
export type HandOvers = {
	/** Stores a part of a table; `false` if it is not accepted, as when the store is full. */
	put: (part: HandOverPart) => boolean;
	/**
	 * Returns a part of a table. The first request reserves the table for its
	 * sender: no other successor gets it, but the same one may ask again, as a reply
	 * may be lost. The process that handed the table over gets `nothing`, since its
	 * own search may still be running: the table would be lost when that process
	 * ends, and the slot would vouch for no key for minutes.
	 */
	take: (slot: HostId, taker: number, part: number) => TakeOverReply;
	sweep: () => void;
};

type HeldTable = {
	parts: Array<HandOverPart | undefined>;
	incarnation: number;
	expiresAt: Milliseconds;
	/** Incarnation of the successor for which the table is reserved. */
	successor: number | undefined;
};

/**
 * Splits a table into parts that fit a frame.
 *
 * @param handOver - The frozen table.
 * @returns At least one part.
 */
export function toHandOverParts({claims, ...rest}: WitnessHandOver): HandOverPart[] {
	const parts = Math.max(1, Math.ceil(claims.length / claimsPerPart));
	return Array.from({length: parts}, (_, part) => ({
		...rest, part, parts, claims: claims.slice(part * claimsPerPart, (part + 1) * claimsPerPart),
	}));
}

/**
 * Creates the store of the tables that other hosts have handed to this one.
 *
 * @param now - Monotonic milliseconds.
 * @returns Functions that close over the store.
 */
export function createHandOvers(now: () => Milliseconds): HandOvers {
	const held = new Map<HostId, HeldTable>();

	return {
		put(part) {
			const known = held.get(part.slot);
			const isNew = known?.incarnation !== part.incarnation;
			if (isNew && (part.part !== 0 || (known === undefined && held.size >= maxTables))) {
				return false;
			}

			const entry: HeldTable = isNew || known === undefined
				? {
					parts: Array.from({length: part.parts}), incarnation: part.incarnation, expiresAt: now() + retentionMs, successor: undefined,
				}
				: known;
			if (part.part >= entry.parts.length) {
				return false;
			}

			entry.parts[part.part] = part;
			held.set(part.slot, entry);
			return true;
		},
		take(slot, taker, part) {
			const found = held.get(slot);
			const isWhole = found?.parts.every(piece => piece !== undefined) ?? false;
			if (found === undefined || !isWhole || taker === found.incarnation || (found.successor ?? taker) !== taker) {
				return {kind: 'nothing'};
			}

			if (found.successor === undefined) {
				found.successor = taker;
				found.expiresAt = Math.min(found.expiresAt, now() + takenRetentionMs);
			}

			const piece = found.parts[part];
			return piece === undefined ? {kind: 'nothing'} : {kind: 'part', ...piece};
		},
		sweep() {
			for (const [slot, {expiresAt}] of held) {
				if (now() > expiresAt) {
					held.delete(slot);
				}
			}
		},
	};
}
