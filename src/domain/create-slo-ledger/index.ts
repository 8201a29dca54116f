/**
 * Counts the requests of the last day that met or missed their targets, by class,
 * rule and workspace, in bounded memory.
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
	/** Number of workspaces with series of their own; all others share one series. */
	topWorkspaces?: number;
	/** Number of rules with series of their own; requests of further rules are counted by class and workspace only. */
	maxRules?: number;
};

export type SloLedger = {
	/** Counts a request that has ended. */
	addSample: (sample: SloSample, now: Milliseconds) => void;
	/** Returns the counts over all windows, for burn rates and for adding up the documents of several hosts. */
	toDocument: (now: Milliseconds) => SloDocument;
};

type Tracked = {
	series: Record<ServiceClass, Series | undefined>;
	/** Weighted number of recent requests, halved once a minute, by which workspaces compete for a series. */
	weight: number;
};

const defaultTopWorkspaces = 200;
const defaultMaxRules = 500;
const classes: readonly ServiceClass[] = ['quick', 'batch'];
// Operators look for workspaces with bad requests, also for small ones, so a bad request weighs more than a good one.
const badWeight = 20;
const maxCandidates = 20_000;

/**
 * Creates the ledger of a process.
 *
 * Memory is bounded whatever callers send: a series takes about 4.4 KB, and
 * workspaces beyond the limit share one series. The workspaces with the highest
 * recent weight, in which bad requests count most, have series of their own. When a
 * workspace loses its series, the counts are added to the shared one, so the sum
 * over all workspaces always equals the count of the class, and no bad request is
 * lost from the report.
 *
 * @param options - Host, and limits.
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

	/** Gives a workspace a series of its own; when all are taken, only if its weight exceeds that of the lightest workspace, which then loses its series. */
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

	/** Records the weight of a workspace without a series. A full map is cleared, since the names come from callers and could fill the memory; a busy workspace soon regains its weight. */
	function addCandidate(workspace: WorkspaceId, weight: number): void {
		if (candidates.size >= maxCandidates && !candidates.has(workspace)) {
			candidates.clear();
		}

		candidates.set(workspace, weight);
	}

	/** Halves weights once a minute, so that only the last minutes count. */
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
