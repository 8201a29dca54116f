/**
 * Builds a tree that splits the rules by one condition per level, so that a
 * lookup visits only rules whose workspace, path, header, model, zone and class
 * can match. A rule without the condition of a split goes into the branch `any`.
 */
import {type RuleWhen} from '../../../ports/config.js';
import {type RequestFacts} from '../index.js';

export type IndexNode = {
	/** Position of the first rule below this node. */
	first: number;
	/** Positions of the rules of a leaf, in their order; empty on an inner node. */
	leaf: readonly number[];
	split: IndexSplit | undefined;
};

export type IndexSplit = {
	/** Returns the request's values for the split's condition; a path has one value for each prefix length in use. */
	toKeys: (facts: RequestFacts) => readonly string[];
	children: ReadonlyMap<string, IndexNode>;
	any: IndexNode | undefined;
};

/** A condition by which rules can be split. */
type Dimension = {
	/** Returns the values that the rule accepts; `undefined` when it accepts any. */
	toValues: (when: RuleWhen) => readonly string[] | undefined;
	/** Creates the lookup, given the values in use. */
	toLookup: (values: Iterable<string>) => IndexSplit['toKeys'];
};

/** Up to this many rules, testing each of them is faster than another split. */
const leafSize = 8;

/** A split must leave at most this share of the rules on its longest path; otherwise its lookups cost more than they save. */
const maxSplitShare = 0.8;

/** Number of header names, the most frequent ones, that are considered for splits. */
const maxHeaderDimensions = 4;

/**
 * Builds the index over all rules.
 *
 * @param whens - Conditions of the rules in their order.
 * @returns The root of the index.
 */
export function buildIndex(whens: readonly RuleWhen[]): IndexNode {
	const dimensions = [...plainDimensions, ...toHeaderDimensions(whens)];
	return buildNode(whens, [...whens.keys()], dimensions);
}

function toSingle(toFact: (facts: RequestFacts) => string | undefined): Dimension['toLookup'] {
	return () => facts => {
		const value = toFact(facts);
		return value === undefined ? [] : [value];
	};
}

const plainDimensions: readonly Dimension[] = [
	{toValues: when => when.workspace, toLookup: toSingle(facts => facts.workspace)},
	{toValues: when => when.model, toLookup: toSingle(facts => facts.model)},
	{toValues: when => when.host === undefined ? undefined : [when.host], toLookup: toSingle(facts => facts.host)},
	{toValues: when => when.path === undefined ? undefined : [when.path], toLookup: toPathLookup},
	{toValues: when => when.zone, toLookup: toSingle(facts => facts.zone)},
	{toValues: when => when.class === undefined ? undefined : [when.class], toLookup: toSingle(facts => facts.class)},
];

/** Looks a path up once for each prefix length in use. */
function toPathLookup(prefixes: Iterable<string>): IndexSplit['toKeys'] {
	const lengths = [...new Set([...prefixes].map(({length}) => length))];
	return ({path}) => lengths.filter(length => length <= path.length).map(length => path.slice(0, length));
}

function toHeaderDimensions(whens: readonly RuleWhen[]): readonly Dimension[] {
	const counts = new Map<string, number>();
	for (const name of whens.flatMap(({headers}) => Object.keys(headers ?? {}))) {
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	const names = [...counts].toSorted(([, left], [, right]) => right - left).slice(0, maxHeaderDimensions).map(([name]) => name);
	return names.map((name): Dimension => ({
		toValues(when) {
			const value = when.headers && Object.hasOwn(when.headers, name) ? when.headers[name]! : '*';
			return value === '*' ? undefined : [value];
		},
		toLookup: toSingle(facts => Object.hasOwn(facts.headers, name) ? facts.headers[name] : undefined),
	}));
}

function buildNode(whens: readonly RuleWhen[], positions: readonly number[], dimensions: readonly Dimension[]): IndexNode {
	const first = positions[0] ?? Infinity;
	if (positions.length <= leafSize) {
		return {first, leaf: positions, split: undefined};
	}

	const best = pickDimension(whens, positions, dimensions);
	if (!best) {
		return {first, leaf: positions, split: undefined};
	}

	const rest = dimensions.filter(dimension => dimension !== best.dimension);
	const children = new Map<string, IndexNode>();
	for (const [value, members] of best.parts) {
		children.set(value, buildNode(whens, members, rest));
	}

	const any = best.any.length > 0 ? buildNode(whens, best.any, rest) : undefined;
	return {first, leaf: [], split: {toKeys: best.dimension.toLookup(best.parts.keys()), children, any}};
}

type Parts = {
	dimension: Dimension;
	parts: ReadonlyMap<string, readonly number[]>;
	any: readonly number[];
};

/** Picks the condition whose largest branch leaves the fewest rules to test. */
function pickDimension(whens: readonly RuleWhen[], positions: readonly number[], dimensions: readonly Dimension[]): Parts | undefined {
	let best: Parts | undefined;
	let bestSize = positions.length * maxSplitShare;
	for (const dimension of dimensions) {
		const parts = toParts(whens, positions, dimension);
		let largest = 0;
		for (const members of parts.parts.values()) {
			largest = Math.max(largest, members.length);
		}

		if (parts.any.length + largest <= bestSize) {
			best = parts;
			bestSize = parts.any.length + largest;
		}
	}

	return best;
}

function toParts(whens: readonly RuleWhen[], positions: readonly number[], dimension: Dimension): Parts {
	const parts = new Map<string, number[]>();
	const any: number[] = [];
	for (const position of positions) {
		const values = dimension.toValues(whens[position]!);
		if (values === undefined) {
			any.push(position);
			continue;
		}

		for (const value of new Set(values)) {
			const members = parts.get(value);
			if (members) {
				members.push(position);
			} else {
				parts.set(value, [position]);
			}
		}
	}

	return {dimension, parts, any};
}
