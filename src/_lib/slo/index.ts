/**
 * Counts of good and bad requests over windows of time, as hosts report them
 * and as reports of several hosts are added.
 */
import {type ServiceClass} from '../../ports/outcome.js';
import {msPerHour, msPerMinute} from '../../ports/units.js';

/** Reasons for which a request counts as bad. */
export const badCauses = ['lateFirstToken', 'latePerToken', 'lateComplete', 'refused', 'failed'] as const;

export type BadCause = typeof badCauses[number];

/** Fields of {@link Counts}, in the order in which rings keep them. */
export const countFields = ['total', 'bad', ...badCauses] as const;

/** Numbers of requests in a span of time. One bad request may count under several causes. */
export type Counts = Readonly<Record<typeof countFields[number], number>>;

export const windowNames = ['5m', '30m', '1h', '6h', '24h'] as const;

export type WindowName = typeof windowNames[number];

/** Length of each window, milliseconds. The newest step of a window is the one in progress. */
export const windowLengths: Readonly<Record<WindowName, number>> = {
	'5m': 5 * msPerMinute, '30m': 30 * msPerMinute, '1h': msPerHour, '6h': 6 * msPerHour, '24h': 24 * msPerHour,
};

/** What a series counts: a whole class, one rule, one workspace, or the workspaces that have no series of their own. */
export type SeriesScope = 'class' | 'rule' | 'workspace' | 'other-workspaces';

export type SloSeries = {
	scope: SeriesScope;
	class: ServiceClass;
	/** Rule or workspace; the class itself for `class`, empty for `other-workspaces`. */
	name: string;
	windows: Readonly<Record<WindowName, Counts>>;
	/** Last 60 minutes by minute, newest first; for `class` alone. */
	minutes?: readonly Counts[] | undefined;
	/** Last 24 hours by quarter of an hour, newest first; for `class` alone. */
	quarters?: readonly Counts[] | undefined;
};

/** Counts of one host, or the sum over several hosts. */
export type SloDocument = {
	version: 1;
	hosts: readonly string[];
	series: readonly SloSeries[];
};

export const emptyCounts: Counts = {
	total: 0, bad: 0, lateFirstToken: 0, latePerToken: 0, lateComplete: 0, refused: 0, failed: 0,
};

/**
 * Adds counts field by field.
 *
 * @param left - Counts.
 * @param right - Counts.
 * @returns Their sum.
 *
 * @example
 * ```ts
 * addCounts(emptyCounts, emptyCounts).total; // => 0
 * ```
 */
export function addCounts(left: Counts, right: Counts): Counts {
	return {
		total: left.total + right.total,
		bad: left.bad + right.bad,
		lateFirstToken: left.lateFirstToken + right.lateFirstToken,
		latePerToken: left.latePerToken + right.latePerToken,
		lateComplete: left.lateComplete + right.lateComplete,
		refused: left.refused + right.refused,
		failed: left.failed + right.failed,
	};
}
