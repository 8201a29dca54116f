import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toFleetConfig} from '../../../domain/_test/to-fleet-config.js';
import {createWantedSince} from './create-wanted-since.js';

describe('createWantedSince', () => {
	it('restarts when servers need other weights, and not when rules change', () => {
		let now = 1000;
		const toSince = createWantedSince(() => now);
		const config = toFleetConfig(10, 5);
		assert.equal(toSince(config), 1000);
		now = 6000;
		assert.equal(toSince({...config, rules: config.rules.slice(1)}), 1000);
		now = 11_000;
		const next = {...config, pools: config.pools.map(pool => ({...pool, version: '2'}))};
		assert.equal(toSince(next), 11_000);
		now = 16_000;
		assert.equal(toSince({...next, callerTokens: {x: 'w'}}), 11_000);
		assert.equal(toSince(config), 16_000);
	});
});
