import {
	type BadCause, type Counts, type SloSeries, type WindowName, windowLengths, windowNames,
} from '../../../_lib/slo/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {msPerHour, msPerMinute} from '../../../ports/units.js';
import {createCountsRing, type CountsRing} from './create-counts-ring.js';

export const minuteSlots = 60;
export const quarterMs = 15 * msPerMinute;
export const quarterSlots = (24 * msPerHour) / quarterMs;

/** Counts of one series at two resolutions: by minute for windows of up to an hour, by quarter of an hour for longer ones. */
export type Series = {
	minutes: CountsRing;
	quarters: CountsRing;
};

export function createSeries(): Series {
	return {minutes: createCountsRing(msPerMinute, minuteSlots), quarters: createCountsRing(quarterMs, quarterSlots)};
}

export function addToSeries(series: Series, causes: readonly BadCause[], now: Milliseconds): void {
	series.minutes.add(causes, now);
	series.quarters.add(causes, now);
}

export function mergeSeries(series: Series, other: Series, now: Milliseconds): void {
	series.minutes.merge(other.minutes, now);
	series.quarters.merge(other.quarters, now);
}

export function toWindows(series: Series, now: Milliseconds): Record<WindowName, Counts> {
	const entries = windowNames.map(name => {
		const length = windowLengths[name];
		const counts = length <= msPerHour ? series.minutes.sum(length / msPerMinute, now) : series.quarters.sum(length / quarterMs, now);
		return [name, counts];
	});
	return Object.fromEntries(entries) as Record<WindowName, Counts>;
}

export function toPoints(series: Series, now: Milliseconds): Required<Pick<SloSeries, 'minutes' | 'quarters'>> {
	return {
		minutes: Array.from({length: minuteSlots}, (_, age) => series.minutes.at(age, now)),
		quarters: Array.from({length: quarterSlots}, (_, age) => series.quarters.at(age, now)),
	};
}
