import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type HostLife} from '../../ports/view.js';
import {pickZoneContacts} from './index.js';

const toHosts = (lives: Readonly<Record<string, HostLife>>) => Object.entries(lives).map(([id, life]) => ({id, life}));

describe('pickZoneContacts', () => {
	it('picks two of the live hosts, whatever their order', () => {
		const hosts = toHosts({
			a: 'alive', b: 'alive', c: 'alive', d: 'suspect', e: 'dead',
		});
		const picked = pickZoneContacts('z', hosts);
		assert.equal(picked.length, 2);
		assert.ok(picked.every(id => ['a', 'b', 'c'].includes(id)));
		assert.deepEqual(pickZoneContacts('z', hosts.toReversed()), picked);
	});

	it('picks suspects where no host is alive, and none where all are gone', () => {
		assert.deepEqual(pickZoneContacts('z', toHosts({a: 'suspect', b: 'dead'})), ['a']);
		assert.deepEqual(pickZoneContacts('z', toHosts({a: 'left', b: 'dead'})), []);
	});
});
