import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type RuleWhen} from '../../ports/config.js';
import {anyFacts, anyWhen} from '../_test/any-rules.js';
import {toRules} from '../_test/to-rules.js';
import {matchRule} from '../match-rule/index.js';
import {compileRules, type RequestFacts} from './index.js';

const facts: RequestFacts = {
	workspace: 'w1', model: 'm1', path: '/', headers: {}, class: undefined, promptTokens: 1, zone: 'z1',
};

describe('compileRules', () => {
	it('keeps the rules in their order, each with its test', () => {
		const rules = toRules([{workspace: ['w2']}, {model: ['m1']}, {}]);
		const compiled = compileRules({rules});
		assert.deepEqual(compiled.rules.map(({rule}) => rule), rules);
		assert.deepEqual(compiled.rules.map(({test}) => test(facts)), [false, true, true]);
	});

	it('reuses the index when only names and routes have changed', () => {
		const before = compileRules({rules: toRules([{workspace: ['w1']}, {}])});
		const renamed = toRules([{workspace: ['w1']}, {}]).map(rule => ({...rule, name: `${rule.name} later`}));
		assert.equal(compileRules({rules: renamed}, before).segments[0]!.root, before.segments[0]!.root);
	});

	const changes: Array<[string, RuleWhen[]]> = [
		['a condition', [{workspace: ['w2']}, {}]],
		['the order', [{}, {workspace: ['w1']}]],
		['the number of rules', [{workspace: ['w1']}]],
	];
	for (const [name, whens] of changes) {
		it(`rebuilds the index when ${name} has changed`, () => {
			const before = compileRules({rules: toRules([{workspace: ['w1']}, {}])});
			const after = compileRules({rules: toRules(whens)}, before);
			assert.notEqual(after.segments[0]!.root, before.segments[0]!.root);
			assert.deepEqual(after.segments, compileRules({rules: toRules(whens)}).segments);
		});
	}

	it('finds the same rule with a reused index as with a new one', () => {
		fc.assert(fc.property(fc.array(anyWhen, {maxLength: 30}), fc.array(anyWhen, {maxLength: 3}), fc.array(anyFacts, {minLength: 1, maxLength: 20}), (whens, others, samples) => {
			const before = compileRules({rules: toRules(whens)});
			const rules = toRules(whens.map((when, i) => others[i] ?? {...when})).map(rule => ({...rule, name: `${rule.name} later`}));
			const compiled = compileRules({rules}, before);
			for (const sample of samples) {
				assert.equal(matchRule(compiled, sample), matchRule(compileRules({rules}), sample));
			}
		}), {numRuns: 200});
	});

	it('finds the same rule with reused segments as with new ones, after any edits', () => {
		const edit = fc.record({at: fc.nat(40), removed: fc.nat(12), inserted: fc.array(anyWhen, {maxLength: 8})});
		fc.assert(fc.property(fc.array(anyWhen, {maxLength: 40}), fc.array(edit, {minLength: 1, maxLength: 5}), fc.array(anyFacts, {minLength: 1, maxLength: 20}), (whens, edits, samples) => {
			let current = whens;
			let compiled = compileRules({rules: toRules(current)}, undefined, {segmentSize: 5});
			for (const {at, removed, inserted} of edits) {
				current = current.toSpliced(at, removed, ...inserted);
				const rules = toRules(current);
				compiled = compileRules({rules}, compiled, {segmentSize: 5});
				assert.deepEqual(compiled.rules.map(({rule}) => rule), rules);
				assert.ok(compiled.segments.length <= 2 * Math.ceil(rules.length / 5));
				for (const sample of samples) {
					assert.equal(matchRule(compiled, sample), matchRule(compileRules({rules}), sample));
				}
			}
		}), {numRuns: 300});
	});

	it('rebuilds only the segments in which conditions changed', () => {
		const whens = Array.from({length: 50}, (_, i): RuleWhen => ({workspace: [`w${i}`]}));
		const before = compileRules({rules: toRules(whens)}, undefined, {segmentSize: 10});
		const inserted = compileRules({rules: toRules(whens.toSpliced(25, 0, {model: ['m1']}))}, before, {segmentSize: 11});
		const roots = new Set(before.segments.map(({root}) => root));
		assert.deepEqual(inserted.segments.map(({start, root}) => [start, roots.has(root)]), [[0, true], [10, true], [20, false], [31, true], [41, true]]);
	});
});
