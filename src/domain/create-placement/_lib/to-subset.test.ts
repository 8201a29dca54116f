import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type ServerEntry} from '../../../ports/config.js';
import {toServer} from './fixtures.js';
import {toSubset} from './to-subset.js';

const toServers = (count: number) => Array.from({length: count}, (_, i) => toServer(`s${i}`, 'decode'));
const toIds = (servers: readonly ServerEntry[]) => servers.map(server => server.id);
const toHosts = (count: number) => Array.from({length: count}, (_, i) => `h${i}`);

describe('toSubset', () => {
	it('gives a host that is alone all servers, and a host that is not listed none', () => {
		assert.equal(toSubset(toServers(5), ['h0'], 'h0').length, 5);
		assert.deepEqual(toSubset(toServers(5), ['h0'], 'other'), []);
	});

	it('covers all servers with slices of nearly the same length, each shared by no more hosts than need be (property)', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 60}), fc.integer({min: 1, max: 40}), (serverCount, hostCount) => {
			const hosts = toHosts(hostCount);
			const subsets = hosts.map(host => toIds(toSubset(toServers(serverCount), hosts, host)));
			const counts = new Map<string, number>();
			for (const id of subsets.flat()) {
				counts.set(id, (counts.get(id) ?? 0) + 1);
			}

			assert.equal(counts.size, serverCount);
			for (const subset of subsets) {
				assert.ok(subset.length >= Math.floor(serverCount / hostCount) && subset.length <= Math.ceil(serverCount / hostCount) + 1);
			}

			for (const count of counts.values()) {
				assert.ok(count <= Math.ceil(hostCount / serverCount) + 1);
			}
		}));
	});

	it('does not depend on the order in which hosts and servers are known (property)', () => {
		const servers = toServers(12);
		const hosts = toHosts(9);
		fc.assert(fc.property(fc.shuffledSubarray(servers, {minLength: 12}), fc.shuffledSubarray(hosts, {minLength: 9}), (otherServers, otherHosts) => {
			assert.deepEqual(toSubset(otherServers, otherHosts, 'h3'), toSubset(servers, hosts, 'h3'));
		}));
	});
});
