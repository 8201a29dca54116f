/** SLO documents for tests of burn reports. */
import {
	type Counts, emptyCounts, type SloDocument, type SloSeries, type WindowName, windowNames,
} from '../../_lib/slo/index.js';

/** Builds a series with bad and total counts for some windows; of the quick class unless changed. */
export function toSeries(badOf: Partial<Record<WindowName, [number, number]>>, changes: Partial<SloSeries> = {}): SloSeries {
	const windows = Object.fromEntries(windowNames.map((name): [WindowName, Counts] => {
		const [bad, total] = badOf[name] ?? [0, 0];
		return [name, {
			...emptyCounts, bad, total, failed: bad,
		}];
	})) as Record<WindowName, Counts>;
	return {
		scope: 'class', class: 'quick', name: 'quick', windows, ...changes,
	};
}

/** Builds the document of two hosts. */
export const toDocument = (...series: SloSeries[]): SloDocument => ({version: 1, hosts: ['a-1', 'a-2'], series});
