/**
 * Counts ended requests against their targets, by class, rule and workspace,
 * over the last day, in bounded memory.
 */
import {type BadCause, type SloDocument, type SloSeries} from '../../_lib/slo/index.js';
import {judgeSample, type SloSample} from '../judge-sample/index.js';
import {type Milliseconds} from '../../ports/clock.js';
import {type HostId, type WorkspaceId} from '../../ports/ids.js';
import {type ServiceClass} from '../../ports/outcome.js';
import {msPerMinute} from '../../ports/units.js';
import {
	mergeSeries, addToSeries, createSeries, type Series, toPoints, toWindows,
} from './_lib/create-series.js';

export {type SloSample} from '../judge-sample/index.js';
export {type SloDocument} from '../../_lib/slo/index.js';

export type SloLedgerOptions = {
	host: HostId;
	/** Workspaces with series of their own; all others share one. */
	topWorkspaces?: number;
	/** Rules with series of their own; later ones are counted by class and workspace alone. */
	maxRules?: number;
};

export type SloLedger = {
	/** Counts a request that has ended. */
	addSample: (sample: SloSample, now: Milliseconds) => void;
	/** Counts over all windows, for burn rates and to be added to those of other hosts. */
	toDocument: (now: Milliseconds) => SloDocument;
};

type Tracked = {
	series: Record<ServiceClass, Series | undefined>;
	/** Weight of samples, halved once a minute, by which workspaces compete for a series. */
	weight: number;
};

const defaultTopWorkspaces = 200;
const defaultMaxRules = 500;
const classes: readonly ServiceClass[] = ['quick', 'batch'];
// A workspace whose requests go wrong is what staff look for, also when it is a small one.
const badWeight = 20;
const maxCandidates = 20_000;

/**
 * Creates the ledger of a process.
 *
 * Memory is bounded whatever callers send: a series takes about 4.4 KB, and
 * workspaces beyond the bound share one. Which ones have their own is a contest
 * by recent weight, bad requests counting most. The counts of one that loses its
 * series go to the shared one, so that all workspaces together are always the
 * class, and no bad request is lost from the report.
 *
 * @param options - Host, and bounds.
 * @returns The ledger.
 *
 * @example
 * ```ts
 * const ledger = createSloLedger({host: 'dvorana-a-1'});
 * const target = {firstTokenMs: 1300, perTokenMs: 61, completeMs: 10_000};
 * ledger.addSample({class: 'quick', workspace: 'w', rule: 'desk', end: 'complete', firstTokenMs: 80, perTokenMs: 20, completeMs: 900, target}, 0);
 * ledger.toDocument(0).series[0]?.windows['5m'].total; // => 1
 * ```
 */
export function createSloLedger(options: SloLedgerOptions): SloLedger {
	const {host, topWorkspaces = defaultTopWorkspaces, maxRules = defaultMaxRules} = options;
	const byClass: Record<ServiceClass, Series> = {quick: createSeries(), batch: createSeries()};
	const shared: Record<ServiceClass, Series> = {quick: createSeries(), batch: createSeries()};
	const byRule = new Map<string, {class: ServiceClass; name: string; series: Series}>();
	const tracked = new Map<WorkspaceId, Tracked>();
	const candidates = new Map<WorkspaceId, number>();
	let lastMinute = 0;

	function addSample(sample: SloSample, now: Milliseconds): void {
		const causes = judgeSample(sample);
		if (causes === undefined) {
			return;
		}

		decayWeights(now);
		addToSeries(byClass[sample.class], causes, now);
		addRule(sample, causes, now);
		addWorkspace(sample, causes, now);
	}

	function addRule(sample: SloSample, causes: readonly BadCause[], now: Milliseconds): void {
		const key = `${sample.class} ${sample.rule}`;
		let rule = byRule.get(key);
		if (rule === undefined && byRule.size < maxRules) {
			rule = {class: sample.class, name: sample.rule, series: createSeries()};
			byRule.set(key, rule);
		}

		if (rule !== undefined) {
			addToSeries(rule.series, causes, now);
		}
	}

	function addWorkspace(sample: SloSample, causes: readonly BadCause[], now: Milliseconds): void {
		const weight = causes.length > 0 ? badWeight : 1;
		const own = tracked.get(sample.workspace) ?? startTracking(sample.workspace, weight, now);
		if (own === undefined) {
			addToSeries(shared[sample.class], causes, now);
			return;
		}

		own.weight += weight;
		own.series[sample.class] ??= createSeries();
		addToSeries(own.series[sample.class]!, causes, now);
	}

	/** Gives a workspace a series, at the cost of the lightest one where none is free. */
	function startTracking(workspace: WorkspaceId, weight: number, now: Milliseconds): Tracked | undefined {
		const total = (candidates.get(workspace) ?? 0) + weight;
		if (tracked.size >= topWorkspaces) {
			const lightest = findLightest();
			if (lightest === undefined || total <= lightest.weight) {
				addCandidate(workspace, total);
				return undefined;
			}

			stopTracking(lightest.workspace, now);
		}

		candidates.delete(workspace);
		const own: Tracked = {series: {quick: undefined, batch: undefined}, weight: total - weight};
		tracked.set(workspace, own);
		return own;
	}

	function findLightest(): {workspace: WorkspaceId; weight: number} | undefined {
		let lightest: {workspace: WorkspaceId; weight: number} | undefined;
		for (const [workspace, {weight}] of tracked) {
			if (lightest === undefined || weight < lightest.weight) {
				lightest = {workspace, weight};
			}
		}

		return lightest;
	}

	function stopTracking(workspace: WorkspaceId, now: Milliseconds): void {
		const {series} = tracked.get(workspace)!;
		tracked.delete(workspace);
		for (const each of classes) {
			if (series[each] !== undefined) {
				mergeSeries(shared[each], series[each], now);
			}
		}
	}

	/** A full map is emptied: the names come from callers, and whoever is heavy is soon heavy again. */
	function addCandidate(workspace: WorkspaceId, weight: number): void {
		if (candidates.size >= maxCandidates && !candidates.has(workspace)) {
			candidates.clear();
		}

		candidates.set(workspace, weight);
	}

	/** Halves weights once a minute, so that the contest is about the last minutes. */
	function decayWeights(now: Milliseconds): void {
		const minute = Math.floor(now / msPerMinute);
		if (minute === lastMinute) {
			return;
		}

		const kept = 0.5 ** (minute - lastMinute);
		lastMinute = minute;
		for (const each of tracked.values()) {
			each.weight *= kept;
		}

		for (const [workspace, weight] of candidates) {
			if (weight < 1) {
				candidates.delete(workspace);
			} else {
				candidates.set(workspace, weight * kept);
			}
		}
	}

	function toDocument(now: Milliseconds): SloDocument {
		const series: SloSeries[] = [];
		for (const each of classes) {
			series.push(
				{
					scope: 'class', class: each, name: each, windows: toWindows(byClass[each], now), ...toPoints(byClass[each], now),
				},
				{
					scope: 'other-workspaces', class: each, name: '', windows: toWindows(shared[each], now),
				},
			);
		}

		for (const rule of byRule.values()) {
			series.push({
				scope: 'rule', class: rule.class, name: rule.name, windows: toWindows(rule.series, now),
			});
		}

		for (const [workspace, own] of tracked) {
			series.push(...toWorkspaceSeries(workspace, own, now));
		}

		return {version: 1, hosts: [host], series: series.filter(each => each.scope === 'class' || each.windows['24h'].total > 0)};
	}

	return {addSample, toDocument};
}

function toWorkspaceSeries(workspace: WorkspaceId, {series}: Tracked, now: Milliseconds): SloSeries[] {
	return classes.flatMap(each => series[each] === undefined
		? []
		: [{
			scope: 'workspace' as const, class: each, name: workspace, windows: toWindows(series[each], now),
		}]);
}
