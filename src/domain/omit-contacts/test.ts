import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {pickZoneContacts} from '../pick-zone-contacts/index.js';
import {omitContacts} from './index.js';

const toHosts = (zone: string, count: number) => Array.from({length: count}, (_, i) => ({id: `${zone}-${i}`, zone, life: 'alive' as const}));

describe('omitContacts', () => {
	it('leaves out the contacts of large zones only', () => {
		const [large, small] = [toHosts('a', 16), toHosts('b', 15)];
		const contacts = pickZoneContacts('a', large);
		assert.deepEqual(omitContacts([...large, ...small]), [...large.filter(({id}) => !contacts.includes(id)), ...small]);
	});
});
