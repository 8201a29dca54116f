/**
 * Measures the time to find the deciding rule with the index and with a linear search, for
 * several sizes of the rule list. Also measures the cost of each accepted document to a
 * host: parsing, validating and compiling.
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import fc from 'fast-check';
import {compileRules, type CompiledRules, type RequestFacts} from '../../src/domain/compile-rules/index.js';
import {matchRule} from '../../src/domain/match-rule/index.js';
import {parseConfig} from '../../src/domain/parse-config/index.js';
import {toConfigText} from '../../src/domain/to-config-text/index.js';
import {toFleetConfig} from '../../src/domain/_test/to-fleet-config.js';

export type MatchRuleRow = {
	rules: number;
	workspaces: number;
	documentBytes: number;
	parseMs: number;
	compileMs: number;
	/** Heap that the parsed configuration and the compiled rules hold. */
	heapBytes: number;
	indexedMicroseconds: number;
	linearMicroseconds: number;
	/** Whether both searches found the same rule for every sample. */
	isSame: boolean;
};

const sizes: ReadonlyArray<[rules: number, workspaces: number]> = [[10, 10], [1000, 900], [5000, 4500], [20_000, 18_000]];
const sampleCount = 2000;

/**
 * Runs the bench. Prints a table, then the rows as JSON.
 *
 * @returns The printed rows.
 */
export function runMatchRuleBench(): readonly MatchRuleRow[] {
	const rows = sizes.map(([rules, workspaces]) => measure(rules, workspaces));
	console.table(rows);
	console.log(JSON.stringify({bench: 'match-rule', samples: sampleCount, rows}));
	return rows;
}

function measure(rules: number, workspaces: number): MatchRuleRow {
	const text = toConfigText(toFleetConfig(rules, workspaces));
	const heapBefore = toHeapBytes();
	const [parseMs, parsed] = time(() => parseConfig(text));
	const [compileMs, compiled] = time(() => compileRules(parsed._unsafeUnwrap()));
	const heapBytes = toHeapBytes() - heapBefore;
	const samples = toSamples(rules, workspaces);
	const linear = (facts: RequestFacts) => compiled.rules.find(({test}) => test(facts))?.rule;
	const isSame = samples.every(facts => matchRule(compiled, facts) === linear(facts));
	return {
		rules,
		workspaces,
		documentBytes: Buffer.byteLength(text),
		parseMs: toRounded(parseMs),
		compileMs: toRounded(compileMs),
		heapBytes,
		indexedMicroseconds: toMicroseconds(samples, facts => matchRule(compiled, facts)),
		linearMicroseconds: toMicroseconds(samples.slice(0, 200), linear),
		isSame,
	};
}

/** Draws samples with a fixed seed: known and unknown workspaces, and paths and headers that rules name. */
function toSamples(rules: number, workspaces: number): readonly RequestFacts[] {
	const index = fc.nat(rules - 1);
	return fc.sample(fc.record({
		workspace: fc.nat(Math.ceil(workspaces * 1.1)).map(i => `ws-${String(i).padStart(5, '0')}`),
		model: fc.constantFrom('m', undefined),
		path: fc.oneof(fc.constant('/v1/completions'), index.map(i => `/service-${i - (i % 20)}/x`)),
		headers: fc.oneof(fc.constant({}), index.map(i => ({'x-campaign': `c${i}`}))),
		class: fc.constantFrom('quick' as const, 'batch' as const, undefined),
		promptTokens: fc.nat(30_000),
		zone: fc.constant('a'),
	}), {numRuns: sampleCount, seed: 1});
}

/** Returns the best time of several rounds, since other load on the machine slows some of them. */
function toMicroseconds(samples: readonly RequestFacts[], match: (facts: RequestFacts) => CompiledRules['rules'][number]['rule'] | undefined): number {
	let best = Infinity;
	for (let round = 0; round < 10; round++) {
		const [ms] = time(() => {
			for (const facts of samples) {
				match(facts);
			}
		});
		best = Math.min(best, ms);
	}

	return toRounded(best * 1000 / samples.length);
}

/** Returns the heap in use after a full garbage collection, which Node exposes only behind a flag. */
function toHeapBytes(): number {
	setFlagsFromString('--expose-gc');
	const collect = runInNewContext('gc') as () => void;
	collect();
	return process.memoryUsage().heapUsed;
}

function time<T>(run: () => T): [ms: number, result: T] {
	const start = performance.now();
	const result = run();
	return [performance.now() - start, result];
}

function toRounded(value: number): number {
	return Number(value.toPrecision(3));
}
