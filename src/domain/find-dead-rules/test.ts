import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type RuleWhen} from '../../ports/config.js';
import {anyFacts, anyWhen} from '../_test/any-rules.js';
import {toRules} from '../_test/to-rules.js';
import {compileRules} from '../compile-rules/index.js';
import {matchRule} from '../match-rule/index.js';
import {findDeadRules} from './index.js';

describe('findDeadRules', () => {
	const cases: Array<[title: string, whens: RuleWhen[], dead: Array<[index: number, hiddenBy: number]>]> = [
		['different workspaces', [{workspace: ['a']}, {workspace: ['b']}, {}], []],
		['a workspace taken earlier', [{workspace: ['a', 'b']}, {workspace: ['b']}, {}], [[1, 0]]],
		['workspaces taken by two rules together', [{workspace: ['a']}, {workspace: ['b']}, {workspace: ['a', 'b']}, {}], [[2, 0]]],
		['a workspace that the earlier rule leaves over', [{workspace: ['a']}, {workspace: ['a', 'b']}, {}], []],
		['models and zones taken by several rules together', [{model: ['m']}, {zone: ['z']}, {model: ['m', 'n'], zone: ['z']}, {}], [[2, 0]]],
		['a longer path after its prefix', [{path: '/desk/'}, {path: '/desk/a'}, {path: '/d'}, {}], [[1, 0]]],
		['a header value after "present"', [{headers: {a: '*'}}, {headers: {a: '1'}}, {}], [[1, 0]]],
		['"present" after a header value', [{headers: {a: '1'}}, {headers: {a: '*'}}, {}], []],
		['a smaller range of prompt sizes', [{promptTokensBelow: 10}, {promptTokensAtLeast: 2, promptTokensBelow: 5}, {promptTokensAtLeast: 5}, {}], [[1, 0]]],
		['a class after none', [{}, {class: 'quick'}], [[1, 0]]],
		['a second catch-all', [{}, {}], [[1, 0]]],
	];
	for (const [title, whens, dead] of cases) {
		it(`finds the dead rules of ${title}`, () => {
			assert.deepEqual(findDeadRules(whens.map(when => ({when}))).map(({index, hiddenBy}) => [index, hiddenBy]), dead);
		});
	}

	it('does not report a rule that decides about some request', () => {
		fc.assert(fc.property(fc.array(anyWhen, {maxLength: 20}), fc.array(anyFacts, {minLength: 300, maxLength: 300}), (whens, samples) => {
			const rules = toRules(whens);
			const compiled = compileRules({rules});
			const deciding = new Set(samples.map(sample => matchRule(compiled, sample)?.name));
			assert.ok(findDeadRules(rules).every(({index}) => !deciding.has(`rule ${index}`)));
		}), {numRuns: 300});
	});

	it('finds each rule that repeats an earlier one', () => {
		fc.assert(fc.property(fc.array(anyWhen, {minLength: 1, maxLength: 20}), whens => {
			const dead = new Set(findDeadRules(toRules([...whens, ...whens])).map(({index}) => index));
			assert.ok(whens.every((_, i) => dead.has(whens.length + i)));
		}), {numRuns: 300});
	});
});
