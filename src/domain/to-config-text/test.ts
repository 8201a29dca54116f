import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Config, type Rule} from '../../ports/config.js';
import {toFleetConfig} from '../_test/to-fleet-config.js';
import {parseConfig} from '../parse-config/index.js';
import {toConfigText} from './index.js';

function toSplitRule({name, when, then}: Rule): Rule {
	const decision = {...then, versions: [{version: 'a', weight: 9}, {version: 'b', weight: 1}]};
	return {name, when, then: decision};
}

describe('toConfigText', () => {
	it('writes a document that reads back to the same configuration', () => {
		const base = toFleetConfig(200, 50);
		const rules = base.rules.map((rule, i) => i === 3 ? toSplitRule(rule) : rule);
		const changed = {...base, rules, callerTokens: {['0a'.repeat(32)]: 'ws-00001'}};
		assert.deepEqual(parseConfig(toConfigText(changed))._unsafeUnwrap(), changed);
	});

	it('writes workspaces with their keys, and public rules', () => {
		const base = toFleetConfig(20, 5);
		const rules = base.rules.map(({name, when, then}) => ({name, when, then: {...then, isPublic: true}}));
		const changed: Config = {
			...base,
			rules,
			callerTokens: {['0a'.repeat(32)]: 'ws-00001', ['0b'.repeat(32)]: 'ws-00001'},
			workspaces: {
				'ws-00001': {
					class: 'quick', limit: {
						unit: 'tokens', perSecond: 9000, burst: 18_000, unstatedTokens: 200,
					},
				},
				'ws-00002': {},
			},
		};
		assert.deepEqual(parseConfig(toConfigText(changed))._unsafeUnwrap(), changed);
	});
});
