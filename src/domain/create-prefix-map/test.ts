import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createPrefixMap} from './index.js';

describe('createPrefixMap', () => {
	it('counts the leading blocks that were sent to a server, up to the first one that was not', () => {
		const map = createPrefixMap();
		map.note('p1', ['a', 'b', 'c']);
		map.note('p2', ['a']);
		const hits = map.toHits(['a', 'b', 'x', 'c']);
		assert.equal(hits.get('p1'), 2 * map.toTrust('p1'));
		assert.equal(hits.get('p2'), map.toTrust('p2'));
		assert.equal(map.toHits(['x', 'a']).size, 0);
	});

	it('lowers the trust in a server when its prefills find nothing cached, and raises it when they do', () => {
		const map = createPrefixMap();
		map.note('p1', ['a', 'b']);
		const before = map.toTrust('p1');
		map.noteFeedback('p1', ['a', 'b'], 0);
		const fallen = map.toTrust('p1');
		assert.ok(fallen < before);
		map.noteFeedback('p1', ['a', 'b'], 2);
		assert.ok(map.toTrust('p1') > fallen);
	});

	it('stays within its bounds and evicts the least recently used blocks (property)', () => {
		const name = fc.nat(50).map(i => `b${i}`);
		fc.assert(fc.property(fc.array(fc.tuple(fc.nat(9), fc.array(name, {maxLength: 8})), {maxLength: 60}), notes => {
			const map = createPrefixMap({maxBlocks: 10, maxServersPerBlock: 2});
			for (const [server, prefix] of notes) {
				map.note(`p${server}`, prefix);
				assert.ok(map.size() <= 10);
				assert.ok(prefix.length === 0 || map.toHits(prefix).has(`p${server}`));
				assert.ok(map.toHits(prefix.slice(0, 1)).size <= 2);
			}
		}));
	});
});
