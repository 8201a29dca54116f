/**
 * Adds up the counts of several hosts.
 */
import {
	addCounts, type Counts, emptyCounts, type SloDocument, type SloSeries, type WindowName, windowNames,
} from '../../_lib/slo/index.js';

/**
 * Adds documents series by series.
 *
 * Each host decides which workspaces have series of their own. The sum for a
 * workspace therefore covers only the hosts that track it; the other hosts count
 * its requests in `other-workspaces`. Sums by class and rule are exact. Steps are
 * aligned by age, so a point of a plot is off by at most one step.
 *
 * @param documents - One document from each host; of several from one host, only the first is counted.
 * @returns The sum.
 *
 * @example
 * ```ts
 * addSloDocuments([]); // => {version: 1, hosts: [], series: []}
 * ```
 */
export function addSloDocuments(documents: readonly SloDocument[]): SloDocument {
	const hosts = new Set<string>();
	const sums = new Map<string, SloSeries>();
	for (const document of documents) {
		if (document.hosts.some(host => hosts.has(host))) {
			continue;
		}

		for (const host of document.hosts) {
			hosts.add(host);
		}

		for (const series of document.series) {
			const key = JSON.stringify([series.scope, series.class, series.name]);
			const sum = sums.get(key);
			sums.set(key, sum === undefined ? series : addSeries(sum, series));
		}
	}

	return {version: 1, hosts: [...hosts].sort(), series: [...sums.values()]};
}

function addSeries(left: SloSeries, right: SloSeries): SloSeries {
	const windows = Object.fromEntries(windowNames.map(name => [name, addCounts(left.windows[name], right.windows[name])])) as Record<WindowName, Counts>;
	return {
		...left,
		windows,
		minutes: addPoints(left.minutes, right.minutes),
		quarters: addPoints(left.quarters, right.quarters),
	};
}

function addPoints(left: readonly Counts[] | undefined, right: readonly Counts[] | undefined): readonly Counts[] | undefined {
	if (left === undefined || right === undefined) {
		return left ?? right;
	}

	const length = Math.max(left.length, right.length);
	return Array.from({length}, (_, i) => addCounts(left[i] ?? emptyCounts, right[i] ?? emptyCounts));
}
