/**
 * Keeps requests from servers whose prompts have a part, or parts, under which
 * servers end. Nothing can clear a part that no server runs any more, so one host
 * lets a request through from time to time.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type PartKey} from '../../ports/ids.js';
import {msPerMinute, msPerSecond} from '../../ports/units.js';
import {createCrashSuspects, type CrashSuspects} from '../create-crash-suspects/index.js';
import {createLatestTimes} from '../create-latest-times/index.js';
import {
	findBlamedParts, minBlameWeight, minSuspectCrashes, pickSurplusCrash, type BlamedParts,
} from '../find-blamed-parts/index.js';

export type {BlamedParts} from '../find-blamed-parts/index.js';

export type PartQuarantineOptions = {
	/** Whether this host is picked, of all hosts that it knows; hosts that know the same hosts pick the same one for a key. */
	isPicked?: (key: string) => boolean;
};

/** What is decided about a request: it runs, it runs as a trial of blamed parts, or it is refused because of them. */
export type PartVerdict = {kind: 'run'} | {kind: 'trial' | 'refuse'; blamed: BlamedParts};

/** Groups of parts that are blamed since these changes were last taken, and groups that no longer are. */
export type BlameChanges = {blamed: readonly BlamedParts[]; freed: ReadonlyArray<readonly PartKey[]>};

export type PartQuarantine = {
	/** Crashes by part, as all hosts tell them. */
	suspects: CrashSuspects;
	/** Decides about a request that has arrived. */
	decide: (parts: readonly PartKey[], now: Milliseconds) => PartVerdict;
	/** Finds blamed parts that a request has all of; `undefined` if there are none. */
	findBlamed: (parts: readonly PartKey[], now: Milliseconds) => BlamedParts | undefined;
	takeChanges: (now: Milliseconds) => BlameChanges;
	/** Number of groups of blamed parts. */
	count: (now: Milliseconds) => number;
};

/** Time from the last crash to the first trial; each further crash multiplies it. */
const firstTrialMs: Milliseconds = 20 * msPerSecond;
const trialFactor = 3;

/** Longest time between two trials. */
const maxTrialMs: Milliseconds = 30 * msPerMinute;

/** Time after which another host is picked for a trial that is due. */
const trialSlotMs: Milliseconds = 10 * msPerSecond;

/** Bound on groups whose last trial is remembered. */
const maxTriedGroups = 256;

const maxSuspects = 4096;

/** Maximum number of crashes kept per part; more than count for a blame, since several servers may end at one moment. */
const maxCrashes = 16;

/** Maximum number of crashes of a part that hosts tell each other: enough for a blame while servers end without the part. */
const maxReportedCrashes = 6;

const toGroupKey = ({parts}: BlamedParts): string => parts.join(' ');

/** Returns the time at which a trial of blamed parts is due. */
function toTrialAt({crashes, weight}: BlamedParts): Milliseconds {
	const lastAt = Math.max(...crashes.map(({at}) => at));
	return lastAt + Math.min(maxTrialMs, firstTrialMs * (trialFactor ** (weight - minBlameWeight)));
}

/**
 * Creates the quarantine of one host.
 *
 * @param options - See {@link PartQuarantineOptions}.
 * @returns See {@link PartQuarantine}; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const quarantine = createPartQuarantine();
 * for (const [i, server] of ['a', 'b', 'c', 'd'].entries()) {
 * 	quarantine.suspects.noteBroken('part', server, i * 2000);
 * }
 *
 * quarantine.decide(['part', 'another'], 7000).kind; // => 'refuse'
 * ```
 */
export function createPartQuarantine({isPicked = () => true}: PartQuarantineOptions = {}): PartQuarantine {
	const suspects = createCrashSuspects({
		crashesToQuarantine: minBlameWeight, maxSuspects, maxCrashes, maxReportedCrashes, pickSurplus: pickSurplusCrash, survivalWeight: Infinity,
	});
	/** Blamed groups as last taken, by key. */
	let known = new Map<string, BlamedParts>();
	/** Start of the time slot in which this host last tried a group, by the group's key. */
	const triedSlots = createLatestTimes(maxTriedGroups);

	const listBlamed = (now: Milliseconds): BlamedParts[] =>
		findBlamedParts(suspects.listCrashes(now, minSuspectCrashes).map(({fingerprint, crashes}) => ({part: fingerprint, crashes})), suspects.listEnds());

	function findBlamed(parts: readonly PartKey[], now: Milliseconds): BlamedParts | undefined {
		const isSuspected = parts.some(part => suspects.crashedServers(part, now).length >= minSuspectCrashes);
		return isSuspected ? listBlamed(now).find(blamed => blamed.parts.every(part => parts.includes(part))) : undefined;
	}

	/** Takes the trial that is due in this time slot, if this host is picked for it. */
	function takeTrial(blamed: BlamedParts, now: Milliseconds): boolean {
		const trialAt = toTrialAt(blamed);
		const slot = Math.floor((now - trialAt) / trialSlotMs);
		const slotAt = trialAt + (slot * trialSlotMs);
		const key = toGroupKey(blamed);
		if (slot < 0 || triedSlots.get(key) >= slotAt || !isPicked(`${key} ${blamed.weight} ${slot}`)) {
			return false;
		}

		triedSlots.note(key, slotAt);
		return true;
	}

	return {
		suspects,
		findBlamed,
		decide(parts, now) {
			const blamed = findBlamed(parts, now);
			if (blamed === undefined) {
				return {kind: 'run'};
			}

			for (const part of blamed.parts) {
				suspects.noteRefused(part, now);
			}

			return {kind: takeTrial(blamed, now) ? 'trial' : 'refuse', blamed};
		},
		takeChanges(now) {
			const current = new Map(listBlamed(now).map(blamed => [toGroupKey(blamed), blamed]));
			const changes = {
				blamed: [...current].filter(([key]) => !known.has(key)).map(([, blamed]) => blamed),
				freed: [...known].filter(([key]) => !current.has(key)).map(([, {parts}]) => parts),
			};
			known = current;
			return changes;
		},
		count: now => listBlamed(now).length,
	};
}
