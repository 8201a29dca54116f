/**
 * Metrics of a process: counters, gauges and histograms (hdr-histogram-js),
 * exposed in the Prometheus text format.
 */
import {createDistribution, type Distribution} from './histogram.js';
import {createSeriesMap, type Labels, type LabelSet} from './series.js';

export {type Labels, type LabelSet, type LabelValues} from './series.js';
export {addProcessMetrics} from './process-metrics.js';

export type MetricOptions<Set extends LabelSet> = {
	/** Name without the prefix `banyanport_`, for example `requests_total`. */
	name: string;
	/** One sentence that explains the metric to a person who handles an alert. */
	help: string;
	labels?: Set;
};

export type HistogramOptions<Set extends LabelSet> = MetricOptions<Set> & {
	/** Upper bounds of the exposed buckets, in the unit of recorded values, ascending. */
	bounds: readonly number[];
	/** Factor for exposed values: 0.001 exposes recorded milliseconds as seconds. */
	scale?: number;
	/** Resolution, in the unit of recorded values. */
	step?: number;
};

export type Counter<Set extends LabelSet> = {
	add: (labels: Labels<Set>, amount?: number) => void;
	/** Returns the counter of one series, to avoid a lookup for each count on hot paths. */
	bind: (labels: Labels<Set>) => (amount?: number) => void;
	value: (labels: Labels<Set>) => number;
};

export type Gauge<Set extends LabelSet> = {
	set: (labels: Labels<Set>, value: number) => void;
	value: (labels: Labels<Set>) => number;
};

export type HistogramMetric<Set extends LabelSet> = {
	record: (labels: Labels<Set>, value: number) => void;
	/** Returns the recorder of one series, to avoid a lookup for each value on hot paths. */
	bind: (labels: Labels<Set>) => (value: number) => void;
	/** Quantile since the start of the process, in the unit of recorded values. */
	quantile: (labels: Labels<Set>, share: number) => number;
};

export type Metrics = {
	createCounter: <const Set extends LabelSet = Record<never, never>>(options: MetricOptions<Set>) => Counter<Set>;
	createGauge: <const Set extends LabelSet = Record<never, never>>(options: MetricOptions<Set>) => Gauge<Set>;
	/** Creates a gauge whose value is sampled at each exposure. */
	createSampledGauge: (options: {name: string; help: string; sample: () => number}) => void;
	/** Creates a counter that is counted elsewhere and sampled at each exposure. */
	createSampledCounter: (options: {name: string; help: string; sample: () => number}) => void;
	createHistogram: <const Set extends LabelSet = Record<never, never>>(options: HistogramOptions<Set>) => HistogramMetric<Set>;
	/** All metrics in the Prometheus text format, version 0.0.4. */
	toPrometheus: () => string;
};

/** Bounds for times from a tenth of a millisecond to ten minutes, in milliseconds. */
export const latencyBoundsMs: readonly number[] = [0.1, 0.25, 0.5, 1, 2, 5, 10, 20, 40, 61, 100, 200, 400, 700, 1000, 1300, 2000, 4000, 8000, 15_000, 30_000, 60_000, 120_000, 300_000, 600_000];

const prefix = 'banyanport_';
const namePattern = /^[a-z][a-z\d_]*$/;

/**
 * Creates the metrics of a process. Their memory is bounded: labels have closed
 * or limited sets of values, and histograms have a fixed size.
 *
 * @returns Functions that create metrics, and the exposition. Creating a metric throws if its name is malformed or in use, or its labels allow too many series; recording never throws.
 *
 * @example
 * ```ts
 * const metrics = createMetrics();
 * const requests = metrics.createCounter({name: 'requests_total', help: 'Requests taken.', labels: {class: ['quick', 'batch']}});
 * requests.add({class: 'quick'});
 * ```
 */
export function createMetrics(): Metrics {
	const families = new Map<string, () => string>();

	function register(options: {name: string; help: string}, type: string, toLines: (name: string) => string[]): void {
		const name = prefix + options.name;
		if (!namePattern.test(options.name)) {
			throw new TypeError(`Metric name '${options.name}' is malformed; use lower-case letters, digits and underscores.`);
		}

		if (families.has(name)) {
			throw new TypeError(`Metric ${name} exists already; choose another name.`);
		}

		const head = `# HELP ${name} ${options.help.replaceAll('\\', '\\\\').replaceAll('\n', ' ')}\n# TYPE ${name} ${type}`;
		families.set(name, () => [head, ...toLines(name)].join('\n'));
	}

	function createNumbers<Set extends LabelSet>(options: MetricOptions<Set>, type: 'counter' | 'gauge') {
		const series = createSeriesMap(options.name, toLabelSet(options), () => ({value: 0}));
		register(options, type, name => Array.from(series.all(), each => `${toSample(name, each.text)} ${toNumber(each.state.value)}`));
		return series;
	}

	function createCounter<const Set extends LabelSet>(options: MetricOptions<Set>): Counter<Set> {
		const series = createNumbers(options, 'counter');
		return {
			add(labels, amount = 1) {
				series.pickState(labels).value += amount;
			},
			bind(labels) {
				const state = series.pickState(labels);
				return (amount = 1) => {
					state.value += amount;
				};
			},
			value: labels => series.pickState(labels).value,
		};
	}

	function createGauge<const Set extends LabelSet>(options: MetricOptions<Set>): Gauge<Set> {
		const series = createNumbers(options, 'gauge');
		return {
			set(labels, value) {
				series.pickState(labels).value = value;
			},
			value: labels => series.pickState(labels).value,
		};
	}

	const createSampled = (type: 'counter' | 'gauge') => (options: {name: string; help: string; sample: () => number}): void => {
		register(options, type, name => [`${name} ${toNumber(options.sample())}`]);
	};

	function createHistogram<const Set extends LabelSet>(options: HistogramOptions<Set>): HistogramMetric<Set> {
		const {bounds, scale = 1, step = 1} = options;
		const highest = 10 * (bounds.at(-1) ?? 1);
		const series = createSeriesMap(options.name, toLabelSet(options), () => createDistribution(step, highest));
		register(options, 'histogram', name => Array.from(series.all(), each => toHistogramLines(name, each, bounds, scale)).flat());
		return {
			record(labels, value) {
				series.pickState(labels).record(value);
			},
			bind: labels => series.pickState(labels).record,
			quantile: (labels, share) => series.pickState(labels).quantile(share),
		};
	}

	return {
		createCounter,
		createGauge,
		createSampledGauge: createSampled('gauge'),
		createSampledCounter: createSampled('counter'),
		createHistogram,
		toPrometheus: () => `${Array.from(families.values(), toText => toText()).join('\n')}\n`,
	};
}

/** Returns the labels of a metric. Without labels the set is empty, and so is the inferred type. */
function toLabelSet<Set extends LabelSet>(options: MetricOptions<Set>): Set {
	const empty: LabelSet = {};
	return options.labels ?? (empty as Set);
}

function toHistogramLines(name: string, series: {text: string; state: Distribution}, bounds: readonly number[], scale: number): string[] {
	const {text, state} = series;
	const comma = text === '' ? '' : ',';
	const counts = state.countUpTo(bounds);
	return [
		...bounds.map((bound, i) => `${name}_bucket{${text}${comma}le="${toScaled(bound, scale)}"} ${counts[i]}`),
		`${name}_bucket{${text}${comma}le="+Inf"} ${state.count()}`,
		`${toSample(`${name}_sum`, text)} ${toNumber(state.sum() * scale)}`,
		`${toSample(`${name}_count`, text)} ${state.count()}`,
	];
}

/** Rounds off the floating-point error of the product, so that 1300 × 0.001 is shown as 1.3. */
function toScaled(value: number, scale: number): string {
	return String(Number((value * scale).toPrecision(12)));
}

function toSample(name: string, labels: string): string {
	return labels === '' ? name : `${name}{${labels}}`;
}

function toNumber(value: number): string {
	if (Number.isNaN(value)) {
		return 'NaN';
	}

	return Number.isFinite(value) ? String(value) : (value > 0 ? '+Inf' : '-Inf');
}
