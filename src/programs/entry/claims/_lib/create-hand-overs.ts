import {type WitnessHandOver} from '../../../../domain/create-claim-witness/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type HostId} from '../../../../ports/ids.js';
import {msPerMinute, msPerSecond} from '../../../../ports/units.js';
import {type HandOverPart, type TakeOverReply} from './messages.js';

const claimsPerPart = 2000;
const retentionMs = 10 * msPerMinute;
/** Long enough for a successor that lost a reply to ask for the parts again. */
const takenRetentionMs = 30 * msPerSecond;
const maxTables = 8;

/** Tables of witnesses that left, held for their successors. */
export type HandOvers = {
	/** Takes in a part of a table; `false` when there is no room. */
	put: (part: HandOverPart) => boolean;
	/**
	 * Gives a part out. The first part gives the table away: no second successor
	 * gets it, while the same one may ask again, for a reply may be lost. Nor does
	 * the process that left it, whose own search may still be under way: its table
	 * would end with it, and the slot would vouch for nothing for minutes.
	 */
	take: (slot: HostId, taker: number, part: number) => TakeOverReply;
	sweep: () => void;
};

type HeldTable = {
	parts: Array<HandOverPart | undefined>;
	incarnation: number;
	expiresAt: Milliseconds;
	/** Incarnation of the successor that takes it. */
	successor: number | undefined;
};

/**
 * Cuts a table into parts that fit a frame.
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
 * Creates the store of tables that this host holds for others.
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
			for (const [slot, {expiresAt: keptUntil}] of held) {
				if (now() > keptUntil) {
					held.delete(slot);
				}
			}
		},
	};
}
