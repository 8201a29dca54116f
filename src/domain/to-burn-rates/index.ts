/**
 * Turns counts into burn rates: how fast an error budget is being spent.
 */
import {
	type BadCause, badCauses, type SeriesScope, type SloDocument, type SloSeries, type WindowName, windowNames,
} from '../../_lib/slo/index.js';
import {type ServiceClass} from '../../ports/outcome.js';

/** Share of requests that must be good, by class. */
export type Objectives = Readonly<Record<ServiceClass, number>>;

/** The users require 95% for both classes. */
export const defaultObjectives: Objectives = {quick: 0.95, batch: 0.95};

/** `page` requires action now, `ticket` during working hours. */
export type AlertLevel = 'page' | 'ticket' | 'none';

export type AlertRule = {
	level: Exclude<AlertLevel, 'none'>;
	/** Burn rate that both windows must reach: the long window shows that the burn is significant, the short one that it is still going on. */
	burn: number;
	short: WindowName;
	long: WindowName;
};

/**
 * Alert rules for an objective of 95%. The burn rate can't exceed 20 then, so the
 * usual factor of 14.4, which is meant for 99.9%, would not page before 72% of the
 * requests are bad. These rules page at 30% and at 15%;
 * `docs/design/008-operations.md` explains the choice.
 */
export const defaultAlertRules: readonly AlertRule[] = [
	{
		level: 'page', burn: 6, short: '5m', long: '1h',
	},
	{
		level: 'page', burn: 3, short: '30m', long: '6h',
	},
	{
		level: 'ticket', burn: 1, short: '6h', long: '24h',
	},
];

export type BurnWindow = {
	window: WindowName;
	total: number;
	bad: number;
	/** Share of good requests; `undefined` without requests. */
	goodShare: number | undefined;
	/** Share of bad requests divided by the share that the objective allows. At 1 the error budget is spent exactly by the end of its period. */
	burn: number;
};

export type BurnRow = {
	scope: SeriesScope;
	class: ServiceClass;
	name: string;
	objective: number;
	windows: readonly BurnWindow[];
	alert: AlertLevel;
	/** Rule that raised the alert. */
	alertRule: AlertRule | undefined;
	/** Causes of bad requests in the last hour, the most frequent first. */
	causes: ReadonlyArray<{cause: BadCause; count: number}>;
};

export type BurnReport = {
	hosts: readonly string[];
	/** Rows of classes, then rules, then workspaces; in each group the fastest burning first. */
	rows: readonly BurnRow[];
};

export type BurnOptions = {
	alertRules?: readonly AlertRule[];
	/** Number of requests below which a window raises no alert, since one bad request of two is no trend. */
	minRequests?: number;
};

const defaultMinRequests = 20;
const scopeOrder: readonly SeriesScope[] = ['class', 'rule', 'workspace', 'other-workspaces'];

/**
 * Computes burn rates over all windows, and the resulting alerts.
 *
 * @param document - Counts of one host, or of several added together.
 * @param objectives - Required share of good requests by class, above 0 and below 1.
 * @param options - Alert rules and the minimum number of requests.
 * @returns The report.
 *
 * @example
 * ```ts
 * toBurnRates({version: 1, hosts: [], series: []}, defaultObjectives).rows; // => []
 * ```
 */
export function toBurnRates(document: SloDocument, objectives: Objectives = defaultObjectives, options: BurnOptions = {}): BurnReport {
	const rows = document.series.map(series => toRow(series, objectives[series.class], options));
	return {hosts: document.hosts, rows: rows.sort(compareRows)};
}

function toRow(series: SloSeries, objective: number, options: BurnOptions): BurnRow {
	const {alertRules = defaultAlertRules, minRequests = defaultMinRequests} = options;
	const windows = windowNames.map(window => toBurnWindow(series, window, objective));
	const alertRule = alertRules.find(rule => [rule.short, rule.long].every(name => {
		const {burn, total} = windows.find(each => each.window === name)!;
		return burn >= rule.burn && total >= minRequests;
	}));
	const hour = series.windows['1h'];
	const causes = badCauses.map(cause => ({cause, count: hour[cause]})).filter(({count}) => count > 0);
	return {
		scope: series.scope,
		class: series.class,
		name: series.name,
		objective,
		windows,
		alert: alertRule?.level ?? 'none',
		alertRule,
		causes: causes.sort((left, right) => right.count - left.count),
	};
}

function toBurnWindow(series: SloSeries, window: WindowName, objective: number): BurnWindow {
	const {total, bad} = series.windows[window];
	const badShare = total === 0 ? 0 : bad / total;
	return {
		window, total, bad, goodShare: total === 0 ? undefined : 1 - badShare, burn: badShare / (1 - objective),
	};
}

function compareRows(left: BurnRow, right: BurnRow): number {
	return scopeOrder.indexOf(left.scope) - scopeOrder.indexOf(right.scope)
		|| burnOf(right, '1h') - burnOf(left, '1h')
		|| burnOf(right, '24h') - burnOf(left, '24h')
		|| left.class.localeCompare(right.class)
		|| left.name.localeCompare(right.name);
}

function burnOf(row: BurnRow, window: WindowName): number {
	return row.windows.find(each => each.window === window)!.burn;
}
