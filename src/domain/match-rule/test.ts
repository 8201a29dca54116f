import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type RuleWhen} from '../../ports/config.js';
import {compileRules, type RequestFacts} from '../compile-rules/index.js';
import {explainRules} from '../explain-rules/index.js';
import {anyFacts, anyWhen} from '../_test/any-rules.js';
import {toRules} from '../_test/to-rules.js';
import {matchRule} from './index.js';

const facts: RequestFacts = {
	workspace: 'w1', model: 'm1', path: '/v1/completions', headers: {'x-genre': 'fantasy'}, class: undefined, promptTokens: 100, zone: 'z1',
};

describe('matchRule', () => {
	const cases: Array<[title: string, when: RuleWhen, matches: boolean]> = [
		['no condition', {}, true],
		['the workspace', {workspace: ['w0', 'w1']}, true],
		['another workspace', {workspace: ['w2']}, false],
		['the model', {model: ['m1']}, true],
		['a path prefix', {path: '/v1/'}, true],
		['a longer path', {path: '/v1/completions/x'}, false],
		['a header value', {headers: {'x-genre': 'fantasy'}}, true],
		['another header value', {headers: {'x-genre': 'shooter'}}, false],
		['a header that must be present', {headers: {'x-genre': '*'}}, true],
		['a header that is absent', {headers: {'x-other': '*'}}, false],
		['a header named like a property of every object', {headers: {constructor: '*'}}, false],
		['a class when the caller named none', {class: 'quick'}, false],
		['a lower bound that is met exactly', {promptTokensAtLeast: 100}, true],
		['an upper bound that is met exactly', {promptTokensBelow: 100}, false],
		['the zone', {zone: ['z1']}, true],
		['one condition of two', {zone: ['z1'], model: ['m2']}, false],
	];
	for (const [title, when, matches] of cases) {
		it(`${matches ? 'takes' : 'passes over'} a rule with ${title}`, () => {
			const found = matchRule(compileRules({rules: toRules([when, {}])}), facts);
			assert.equal(found?.name, matches ? 'rule 0' : 'rule 1');
		});
	}

	it('returns nothing when no rule matches', () => {
		assert.equal(matchRule(compileRules({rules: []}), facts), undefined);
	});

	it('finds the same rule as testing each rule in order', () => {
		fc.assert(fc.property(fc.array(anyWhen, {maxLength: 60}), fc.array(anyFacts, {minLength: 1, maxLength: 20}), (whens, samples) => {
			const compiled = compileRules({rules: toRules(whens)});
			for (const sample of samples) {
				const linear = compiled.rules.find(({test}) => test(sample))?.rule;
				assert.equal(matchRule(compiled, sample), linear);
			}
		}), {numRuns: 500});
	});

	it('picks the rule that explainRules reports as deciding', () => {
		fc.assert(fc.property(fc.array(anyWhen, {maxLength: 20}), anyFacts, (whens, sample) => {
			const rules = toRules(whens);
			const explained = explainRules(rules, sample);
			assert.equal(explained.deciding?.name, matchRule(compileRules({rules}), sample)?.name);
			assert.equal(explained.passedOver.length, explained.deciding?.index ?? rules.length);
			assert.ok(explained.passedOver.every(({unmet}) => unmet.length > 0));
		}), {numRuns: 500});
	});
});
