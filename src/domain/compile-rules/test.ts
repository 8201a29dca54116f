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

	it('uses the index again when only names and routes have changed', () => {
		const before = compileRules({rules: toRules([{workspace: ['w1']}, {}])});
		const renamed = toRules([{workspace: ['w1']}, {}]).map(rule => ({...rule, name: `${rule.name} later`}));
		assert.equal(compileRules({rules: renamed}, before).root, before.root);
	});

	const changes: Array<[string, RuleWhen[]]> = [
		['a condition', [{workspace: ['w2']}, {}]],
		['the order', [{}, {workspace: ['w1']}]],
		['the number of rules', [{workspace: ['w1']}]],
	];
	for (const [name, whens] of changes) {
		it(`builds the index anew when ${name} has changed`, () => {
			const before = compileRules({rules: toRules([{workspace: ['w1']}, {}])});
			const after = compileRules({rules: toRules(whens)}, before);
			assert.notEqual(after.root, before.root);
			assert.deepEqual(after.root, compileRules({rules: toRules(whens)}).root);
		});
	}

	it('lets the same rule be found with an index that is used again', () => {
		fc.assert(fc.property(fc.array(anyWhen, {maxLength: 30}), fc.array(anyWhen, {maxLength: 3}), fc.array(anyFacts, {minLength: 1, maxLength: 20}), (whens, others, samples) => {
			const before = compileRules({rules: toRules(whens)});
			const rules = toRules(whens.map((when, i) => others[i] ?? {...when})).map(rule => ({...rule, name: `${rule.name} later`}));
			const compiled = compileRules({rules}, before);
			for (const sample of samples) {
				assert.equal(matchRule(compiled, sample), matchRule(compileRules({rules}), sample));
			}
		}), {numRuns: 200});
	});
});
