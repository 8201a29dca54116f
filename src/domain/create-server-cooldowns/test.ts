import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ServerEntry} from '../../ports/config.js';
import {createServerCooldowns} from './index.js';

const toServer = (id: string, zone: string): ServerEntry => ({
	id, zone, url: 'http://10.0.0.1:1', role: 'decode', pool: 'p', slots: 8, checksFence: false,
});

describe('createServerCooldowns', () => {
	it('puts a server in cooldown for a second, and longer each time it fails again', () => {
		const cooldowns = createServerCooldowns({zone: 'a'});
		const server = toServer('s1', 'b');
		cooldowns.noteFailure(server, 0);
		assert.deepEqual([500, 1500].map(now => cooldowns.toLevel(server, now)), [2, 0]);
		cooldowns.noteFailure(server, 2000);
		assert.deepEqual([3500, 4500].map(now => cooldowns.toLevel(server, now)), [2, 0]);
	});

	it('ends the cooldown after one success', () => {
		const cooldowns = createServerCooldowns({zone: 'a'});
		const server = toServer('s1', 'b');
		cooldowns.noteFailure(server, 0);
		cooldowns.noteSuccess(server, 50);
		assert.equal(cooldowns.toLevel(server, 100), 0);
	});

	/*
	 * Guards against requests that wait for one unresponsive server after another in a
	 * partitioned zone, although the own zone can serve them.
	 */
	it('puts a whole zone in cooldown once two of its servers failed, but never its own zone', () => {
		const cooldowns = createServerCooldowns({zone: 'a'});
		for (const id of ['b1', 'b2']) {
			assert.equal(cooldowns.toLevel(toServer('b3', 'b'), 0), 0);
			cooldowns.noteFailure(toServer(id, 'b'), 0);
		}

		assert.equal(cooldowns.toLevel(toServer('b3', 'b'), 100), 1);
		assert.equal(cooldowns.toLevel(toServer('c1', 'c'), 100), 0);
		cooldowns.noteFailure(toServer('a1', 'a'), 0);
		cooldowns.noteFailure(toServer('a2', 'a'), 0);
		assert.equal(cooldowns.toLevel(toServer('a3', 'a'), 100), 0);
	});

	/*
	 * Guards against repeated waits during a partition of six seconds. Hosts and servers
	 * of the zone don't answer; the cooldown of a server ends after a second, and
	 * requests after that would wait for unresponsive servers again.
	 */
	it('puts a zone in cooldown when its hosts are silent and one of its servers failed, until either answers', () => {
		let isSilent = false;
		const cooldowns = createServerCooldowns({zone: 'a', isZoneSilent: zone => zone === 'b' && isSilent});
		const [b1, b2] = [toServer('b1', 'b'), toServer('b2', 'b')];
		cooldowns.noteSuccess(b2, 0);
		isSilent = true;
		assert.equal(cooldowns.toLevel(b2, 100), 0, 'only its hosts may have been killed');
		cooldowns.noteFailure(b1, 200);
		assert.equal(cooldowns.toLevel(b2, 300), 1);
		assert.equal(cooldowns.toLevel(b2, 5000), 1);
		isSilent = false;
		assert.equal(cooldowns.toLevel(b2, 5100), 0);
		isSilent = true;
		cooldowns.noteSuccess(b1, 5200);
		assert.equal(cooldowns.toLevel(b2, 5300), 0);
	});

	it('puts a server that refuses in cooldown, but not its zone', () => {
		const cooldowns = createServerCooldowns({zone: 'a', isZoneSilent: () => true});
		const [b1, b2, b3] = [toServer('b1', 'b'), toServer('b2', 'b'), toServer('b3', 'b')];
		cooldowns.noteRefusal(b1, 0);
		cooldowns.noteRefusal(b2, 0);
		assert.deepEqual([b1, b2, b3].map(server => cooldowns.toLevel(server, 500)), [2, 2, 0]);
		assert.equal(cooldowns.toLevel(b1, 1500), 0);
	});

	it('forgets servers that are no longer published', () => {
		const cooldowns = createServerCooldowns({zone: 'a'});
		const server = toServer('s1', 'b');
		cooldowns.noteFailure(server, 0);
		cooldowns.keepOnly(new Set());
		assert.equal(cooldowns.toLevel(server, 100), 0);
	});
});
