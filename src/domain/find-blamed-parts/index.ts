/**
 * Decides which parts of prompts end servers. A server that ends makes suspects of
 * all parts of all requests that it ran, so the decision is one on the ends of all
 * servers: the part that was at most of them explains these, and only what it does
 * not explain counts against other parts.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type PartKey, type ServerId} from '../../ports/ids.js';
import {msPerSecond} from '../../ports/units.js';
import {type Crash} from '../create-crash-suspects/index.js';

/** A part, and the ends of servers under requests with it since a server last survived one. */
export type SuspectPart = {part: PartKey; crashes: readonly Crash[]};

/** Parts that together are blamed: they were at the same ends, so only requests with all of them are known to end servers. */
export type BlamedParts = {
	parts: readonly PartKey[];
	crashes: readonly Crash[];
	/** See {@link toCrashWeight}. */
	weight: number;
};

/** Weight of the crashes from which a part is blamed. */
export const minBlameWeight = 4;

/** Servers that end within this time may have ended for one reason, such as a loss of power. */
const momentMs: Milliseconds = msPerSecond;

/** Maximum number of crashes that count in one such period. */
const maxCrashesOfMoment = 2;

/** Maximum number of ends without a part that count at one moment. */
const maxAbsencesOfMoment = 4;

/** Number of crashes by which parts differ that the evidence does not tell apart: one may have had another reason. */
const maxCrashesApart = 1;

/** Time before the first crash of a part in which ends of servers without it count. */
const recentMs: Milliseconds = 10 * msPerSecond;

/** Number of crashes from which a part is compared with others. */
export const minSuspectCrashes = minBlameWeight - maxCrashesApart;

/** Groups crashes by moment, in order of time. */
function toMoments(crashes: readonly Crash[]): Crash[][] {
	const moments: Crash[][] = [];
	for (const crash of crashes.toSorted((a, b) => a.at - b.at || (a.server < b.server ? -1 : 1))) {
		const moment = moments.at(-1);
		if (moment === undefined || crash.at - moment[0]!.at >= momentMs) {
			moments.push([crash]);
		} else {
			moment.push(crash);
		}
	}

	return moments;
}

/**
 * Weighs crashes: each counts once, but of those at one moment only the first two.
 *
 * @param crashes - The crashes, in any order.
 * @returns The weight.
 */
export function toCrashWeight(crashes: readonly Crash[]): number {
	let weight = 0;
	for (const {length} of toMoments(crashes)) {
		weight += Math.min(length, maxCrashesOfMoment);
	}

	return weight;
}

type WeighedPart = SuspectPart & {
	weight: number;
	/** Weight by which the part is beyond what a blame takes; negative if it is not blamed. */
	margin: number;
};

/**
 * Counts the ends of servers at which a part was absent, for each at which it was
 * present, from shortly before its first crash. Where servers end without the part, it
 * takes more evidence that they end because of it.
 */
function toAbsences(crashes: readonly Crash[], ends: readonly Crash[]): number {
	const own = new Set(crashes.map(({server}) => server));
	const times = crashes.map(({at}) => at);
	const [from, to] = [Math.min(...times) - recentMs, Math.max(...times)];
	let absent = 0;
	for (const moment of toMoments(ends.filter(({at}) => at >= from && at <= to))) {
		const present = moment.filter(({server}) => own.has(server)).length;
		absent += present >= maxCrashesOfMoment ? 0 : Math.min(maxAbsencesOfMoment, moment.length - present);
	}

	return Math.ceil(absent / crashes.length);
}

function toWeighed({part, crashes}: SuspectPart, ends: readonly Crash[]): WeighedPart {
	const weight = toCrashWeight(crashes);
	return {
		part, crashes, weight, margin: weight - minBlameWeight - toAbsences(crashes, ends),
	};
}

/** Whether the first part is the better suspect. */
const isBetter = (a: WeighedPart, b: WeighedPart): boolean => a.margin > b.margin || (a.margin === b.margin && a.crashes.length > b.crashes.length);

/** Whether a part was at nearly all of the crashes of another one. */
function isIndistinct({crashes}: WeighedPart, of: WeighedPart): boolean {
	const servers = new Set(of.crashes.map(({server}) => server));
	return crashes.filter(({server}) => servers.has(server)).length >= servers.size - maxCrashesApart;
}

/**
 * Finds the parts to blame.
 *
 * Parts that cannot be told apart are blamed together. A request with only some of
 * them is sent on: if it survives, these parts are cleared, and if not, the others
 * are no longer at as many crashes.
 *
 * @param suspects - Parts with the crashes that count against them.
 * @param ends - Ends of servers under any request.
 * @returns Groups of parts, the one with the most evidence first.
 *
 * @example
 * ```ts
 * const crashes = [0, 5000, 10_000, 15_000].map((at, i) => ({server: `s${i}`, at}));
 * findBlamedParts([{part: 'a', crashes}, {part: 'b', crashes: crashes.slice(2)}], crashes);
 * // => [{parts: ['a'], crashes, weight: 4}]
 * ```
 */
export function findBlamedParts(suspects: readonly SuspectPart[], ends: readonly Crash[]): BlamedParts[] {
	const explained = new Set<ServerId>();
	const isOpen = ({server}: Crash): boolean => !explained.has(server);
	const blamed: BlamedParts[] = [];
	for (;;) {
		const openEnds = ends.filter(end => isOpen(end));
		const weighed = suspects
			.map(({part, crashes}) => ({part, crashes: crashes.filter(crash => isOpen(crash))}))
			.filter(({crashes}) => crashes.length >= minSuspectCrashes)
			.map(suspect => toWeighed(suspect, openEnds));
		const [best] = weighed.toSorted((a, b) => isBetter(a, b) ? -1 : 1);
		if (best === undefined || best.margin < 0) {
			return blamed;
		}

		const {crashes, weight} = best;
		blamed.push({parts: weighed.filter(other => isIndistinct(other, best)).map(({part}) => part).toSorted(), crashes, weight});
		for (const {server} of crashes) {
			explained.add(server);
		}
	}
}

/**
 * Picks the crash that adds least to the evidence: one beyond those that count at a
 * moment, or else the oldest.
 *
 * @param crashes - At least one crash.
 * @returns Its server.
 */
export function pickSurplusCrash(crashes: readonly Crash[]): ServerId {
	const moments = toMoments(crashes);
	const fullest = moments.toSorted((a, b) => b.length - a.length)[0]!;
	return fullest.length > maxCrashesOfMoment ? fullest.at(-1)!.server : moments[0]![0]!.server;
}
