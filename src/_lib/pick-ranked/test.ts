import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {pickRanked} from './index.js';

const names = fc.uniqueArray(fc.string(), {maxLength: 20});

describe('pickRanked', () => {
	it('picks the same names from any order of them, each once', () => {
		fc.assert(fc.property(fc.string(), names, fc.nat(25), (key, candidates, count) => {
			const picked = pickRanked(key, candidates, count);
			assert.deepEqual(pickRanked(key, candidates.toReversed(), count), picked);
			assert.equal(picked.length, Math.min(count, candidates.length));
			assert.equal(new Set(picked).size, picked.length);
			assert.ok(picked.every(name => candidates.includes(name)));
		}));
	});

	it('moves the keys of a removed name to the next name, and no other keys', () => {
		fc.assert(fc.property(fc.string(), names, fc.nat(25), fc.nat(), (key, candidates, count, which) => {
			const gone = candidates[which % Math.max(1, candidates.length)];
			const ranked = pickRanked(key, candidates, candidates.length);
			const rest = candidates.filter(name => name !== gone);
			assert.deepEqual(pickRanked(key, rest, count), ranked.filter(name => name !== gone).slice(0, count));
		}));
	});

	it('spreads keys over names', () => {
		const hosts = ['host-1', 'host-2', 'host-3', 'host-4'];
		const wins = new Map(hosts.map(host => [host, 0]));
		for (let i = 0; i < 4000; i++) {
			const [winner] = pickRanked(`key-${i}`, hosts, 1);
			wins.set(winner!, wins.get(winner!)! + 1);
		}

		assert.ok([...wins.values()].every(count => count > 800 && count < 1200), JSON.stringify([...wins]));
	});
});
