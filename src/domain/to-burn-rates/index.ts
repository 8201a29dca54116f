/**
 * Turns counts into burn rates: how fast an error budget is being spent.
 */
import {
	type BadCause, badCauses, type SeriesScope, type SloDocument, type SloSeries, type WindowName, windowNames,
} from '../../_lib/slo/index.js';
import {type ServiceClass} from '../../ports/outcome.js';

/** Share of requests that must be good, by class. */
export type Objectives = Readonly<Record<ServiceClass, number>>;

/** 95 in 100, as the users ask of both classes. */
export const defaultObjectives: Objectives = {quick: 0.95, batch: 0.95};

/** `page` needs a person now, `ticket` in working hours. */
export type AlertLevel = 'page' | 'ticket' | 'none';

export type AlertRule = {
	level: Exclude<AlertLevel, 'none'>;
	/** Both windows must burn at this rate: the long one says that it matters, the short one that it still goes on. */
	burn: number;
	short: WindowName;
	long: WindowName;
};

/**
 * With 95 in 100 a burn can't exceed 20, so the usual factor of 14.4, made for
 * 99.9, would stay silent until 72 in 100 are bad. These page at 30 and at 15
 * in 100; `docs/design/008-operations.md` says how they were chosen.
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
	/** Share of bad requests over the share that the objective allows: at 1 the budget is spent just as fast as it is given. */
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
	/** Causes of the last hour's bad requests, the most frequent first. */
	causes: ReadonlyArray<{cause: BadCause; count: number}>;
};

export type BurnReport = {
	hosts: readonly string[];
	/** Rows by class, then rules, then workspaces; in each the fastest burning first. */
	rows: readonly BurnRow[];
};

export type BurnOptions = {
	alertRules?: readonly AlertRule[];
	/** Requests below which a window raises no alert: one bad request of two is no trend. */
	minRequests?: number;
};

const defaultMinRequests = 20;
const scopeOrder: readonly SeriesScope[] = ['class', 'rule', 'workspace', 'other-workspaces'];

/**
 * Computes burn rates over all windows and the alerts that they raise.
 *
 * @param document - Counts of one host, or of several added together.
 * @param objectives - Share of good requests asked for, by class, above 0 and below 1.
 * @param options - Alert rules and the least number of requests.
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
