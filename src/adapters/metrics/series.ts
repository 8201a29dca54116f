/**
 * Series of a metric: one for each combination of label values, bounded in number.
 */

/**
 * Values of a label: a closed set, or the first `max` values that occur. All
 * others are counted as `other`, so that names chosen by callers or staff can't
 * make memory grow without bound.
 */
export type LabelValues = readonly string[] | {max: number};

export type LabelSet = Readonly<Record<string, LabelValues>>;

/** Values of one series, typed by the label's set. */
export type Labels<Set extends LabelSet> = {readonly [Name in keyof Set]: Set[Name] extends ReadonlyArray<infer Value> ? Value : string};

export type Series<State> = {
	/** For example `class="quick",zone="a"`; empty without labels. */
	text: string;
	state: State;
};

const otherValue = 'other';
const maxSeries = 20_000;

/**
 * Creates the bounded map of a metric's series.
 *
 * @param name - Name of the metric, for the error when its labels allow too many series.
 * @param set - Labels and their values.
 * @param createState - Creates the state of a new series.
 * @returns `pickState` by labels, and `all` in the order of creation.
 */
export function createSeriesMap<Set extends LabelSet, State>(name: string, set: Set, createState: () => State) {
	const labelNames = Object.keys(set);
	const seen = new Map(labelNames.map(label => [label, new Set(toClosedValues(set[label]!))]));
	const total = labelNames.reduce((product, label) => product * toSize(set[label]!), 1);
	if (total > maxSeries) {
		throw new RangeError(`Metric ${name}: its labels allow ${total} series; allow at most ${maxSeries}, for example by fewer labels.`);
	}

	const byKey = new Map<string, Series<State>>();

	function toBoundedValue(label: string, value: string): string {
		const known = seen.get(label)!;
		if (known.has(value)) {
			return value;
		}

		const limit = set[label]!;
		if ('max' in limit && known.size < limit.max) {
			known.add(value);
			return value;
		}

		return otherValue;
	}

	function pickState(labels: Labels<Set>): State {
		const given = labels as Readonly<Record<string, string>>;
		const key = labelNames.map(label => toBoundedValue(label, given[label] ?? otherValue)).join('\n');
		const existing = byKey.get(key);
		if (existing !== undefined) {
			return existing.state;
		}

		const values = key.split('\n');
		const text = labelNames.map((label, i) => `${label}="${escapeLabel(values[i]!)}"`).join(',');
		const state = createState();
		byKey.set(key, {text, state});
		return state;
	}

	// Series of closed sets exist from the start, because a rate over a counter needs its initial zero.
	for (const labels of toClosedCombinations(set)) {
		pickState(labels as Labels<Set>);
	}

	return {pickState, all: (): Iterable<Series<State>> => byKey.values()};
}

function toClosedValues(values: LabelValues): readonly string[] {
	return 'max' in values ? [] : values;
}

/** Number of values that a label can have, including `other`. */
function toSize(values: LabelValues): number {
	return 1 + ('max' in values ? values.max : values.length);
}

function toClosedCombinations(set: LabelSet): Array<Record<string, string>> {
	let combinations: Array<Record<string, string>> = [{}];
	for (const [label, values] of Object.entries(set)) {
		combinations = extendEach(combinations, label, toClosedValues(values));
	}

	return combinations;
}

function extendEach(combinations: ReadonlyArray<Record<string, string>>, label: string, values: readonly string[]): Array<Record<string, string>> {
	return values.flatMap(value => combinations.map(each => ({...each, [label]: value})));
}

function escapeLabel(value: string): string {
	return value.replaceAll('\\', '\\\\').replaceAll('"', String.raw`\"`).replaceAll('\n', String.raw`\n`);
}
