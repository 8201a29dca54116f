import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {pickPollers} from './index.js';

const hosts = ['a-1', 'a-2', 'a-3', 'b-1', 'b-2'].map(id => ({id, zone: id[0]!, life: 'alive' as const}));

describe('pickPollers', () => {
	it('picks hosts of the server\'s zone, or of any zone when none of its zone is alive', () => {
		assert.equal(pickPollers({id: 's', zone: 'b'}, hosts, 1)[0]![0], 'b');
		assert.equal(pickPollers({id: 's', zone: 'c'}, hosts, 2).length, 2);
		const withoutB = hosts.map(host => host.zone === 'b' ? {...host, life: 'suspect' as const} : host);
		assert.equal(pickPollers({id: 's', zone: 'b'}, withoutB, 1)[0]![0], 'a');
	});

	it('moves only the servers of a host that leaves', () => {
		fc.assert(fc.property(fc.string(), fc.constantFrom('a-1', 'a-2', 'a-3'), (id, gone) => {
			const server = {id, zone: 'a'};
			const [before] = pickPollers(server, hosts, 1);
			const [next] = pickPollers(server, hosts.filter(host => host.id !== gone), 1);
			assert.ok(before === gone || before === next);
		}));
	});
});
