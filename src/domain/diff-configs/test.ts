import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Config, type Rule} from '../../ports/config.js';
import {createRandom} from '../_test/create-random.js';
import {toFleetConfig} from '../_test/to-fleet-config.js';
import {diffConfigs} from './index.js';

const config = toFleetConfig(50, 20);

function changeRules(change: (rules: readonly Rule[]) => readonly Rule[]): Config {
	return {...config, rules: change(config.rules)};
}

describe('diffConfigs', () => {
	it('finds no difference between equal configurations', () => {
		const diff = diffConfigs(config, structuredClone(config), createRandom());
		assert.ok(diff.sampled > 1000);
		assert.deepEqual([diff.changed, diff.requests, diff.entries], [0, [], []]);
	});

	it('says which requests change, from which rule to which, and how', () => {
		const after = changeRules(rules => rules.filter(({name}) => name !== 'r3'));
		const diff = diffConfigs(config, after, createRandom());
		assert.deepEqual(diff.entries, [{section: 'rules', name: 'r3', change: 'removed'}]);
		assert.ok(diff.requests.length > 0 && diff.requests.every(({ruleBefore}) => ruleBefore === 'r3'));
		const toCatchAll = diff.requests.find(({ruleAfter}) => ruleAfter === 'everything else');
		assert.deepEqual(toCatchAll?.changes.find(({key}) => key === 'class'), {key: 'class', before: 'quick', after: 'batch'});
		assert.equal(toCatchAll?.example.workspace, 'ws-00003');
	});

	it('finds requests that change when rules are reordered', () => {
		const after = changeRules(rules => [...rules].toReversed().toSorted((left, right) => Number(left.name === 'everything else') - Number(right.name === 'everything else')));
		assert.ok(diffConfigs(config, after, createRandom()).changed > 0);
	});

	it('reports no changed requests when rules are only renamed', () => {
		const after = changeRules(rules => rules.map(rule => ({...rule, name: `new ${rule.name}`})));
		const diff = diffConfigs(config, after, createRandom());
		assert.equal(diff.changed, 0);
		assert.equal(diff.entries.length, 2 * config.rules.length);
	});

	it('samples prompt sizes on both sides of a bound', () => {
		const after = changeRules(rules => rules.map(rule => rule.name === 'r1' ? {...rule, when: {...rule.when, promptTokensBelow: 1000}} : rule));
		const {requests} = diffConfigs(config, after, createRandom());
		assert.deepEqual(new Set(requests.map(({example}) => example.promptTokens)), new Set([1000]));
	});
});
