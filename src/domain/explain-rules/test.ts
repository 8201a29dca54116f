import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toRules} from '../_test/to-rules.js';
import {explainRules} from './index.js';

describe('explainRules', () => {
	const facts = {
		workspace: 'w1', model: undefined, path: '/desk/a', headers: {}, class: undefined, promptTokens: 10, zone: 'z1',
	};

	it('names every condition that does not hold, with the required and the actual value', () => {
		const explained = explainRules(toRules([
			{workspace: ['a', 'b', 'c', 'd', 'e', 'f', 'g'], promptTokensBelow: 10},
			{model: ['m'], headers: {'x-genre': '*', 'x-tone': 'dry'}},
			{path: '/desk/'},
			{},
		]), facts);
		assert.deepEqual(explained.passedOver.map(({unmet}) => unmet), [
			[
				{condition: 'workspace', wanted: 'a or b or c or d or e or 2 more', got: 'w1'},
				{condition: 'promptTokensBelow', wanted: '10', got: '10'},
			],
			[
				{condition: 'model', wanted: 'm', got: 'nothing'},
				{condition: 'headers.x-genre', wanted: 'any value', got: 'nothing'},
				{condition: 'headers.x-tone', wanted: 'dry', got: 'nothing'},
			],
		]);
		assert.equal(explained.deciding?.name, 'rule 2');
	});

	it('says that no rule decides', () => {
		assert.equal(explainRules(toRules([{zone: ['z2']}]), facts).deciding, undefined);
	});
});
