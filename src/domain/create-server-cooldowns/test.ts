import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ServerEntry} from '../../ports/config.js';
import {createServerCooldowns} from './index.js';

const toServer = (id: string, zone: string): ServerEntry => ({
	id, zone, url: 'http://10.0.0.1:1', role: 'decode', pool: 'p', slots: 8, checksFence: false,
});

describe('createDoubts', () => {
	it('doubts a server for a second, and longer each time it fails again', () => {
		const doubts = createServerCooldowns({zone: 'a'});
		const server = toServer('s1', 'b');
		doubts.noteFailure(server, 0);
		assert.deepEqual([500, 1500].map(now => doubts.toLevel(server, now)), [2, 0]);
		doubts.noteFailure(server, 2000);
		assert.deepEqual([3500, 4500].map(now => doubts.toLevel(server, now)), [2, 0]);
	});

	it('ends with one success', () => {
		const doubts = createServerCooldowns({zone: 'a'});
		const server = toServer('s1', 'b');
		doubts.noteFailure(server, 0);
		doubts.noteSuccess(server, 50);
		assert.equal(doubts.toLevel(server, 100), 0);
	});

	/*
	 * The host's zone is cut off from another one. Each request would wait for one
	 * silent server of that zone after the other, though the own zone serves.
	 */
	it('doubts a whole zone once two of its servers failed, and never its own', () => {
		const doubts = createServerCooldowns({zone: 'a'});
		for (const id of ['b1', 'b2']) {
			assert.equal(doubts.toLevel(toServer('b3', 'b'), 0), 0);
			doubts.noteFailure(toServer(id, 'b'), 0);
		}

		assert.equal(doubts.toLevel(toServer('b3', 'b'), 100), 1);
		assert.equal(doubts.toLevel(toServer('c1', 'c'), 100), 0);
		doubts.noteFailure(toServer('a1', 'a'), 0);
		doubts.noteFailure(toServer('a2', 'a'), 0);
		assert.equal(doubts.toLevel(toServer('a3', 'a'), 100), 0);
	});

	/*
	 * A zone is cut off for six seconds. Its hosts fall silent and its servers too;
	 * a doubt of a server ends after a second, and each request after that would
	 * wait for silent servers again.
	 */
	it('doubts a zone whose hosts fell silent after a server of it failed, until either is heard', () => {
		let isSilent = false;
		const doubts = createServerCooldowns({zone: 'a', isZoneSilent: zone => zone === 'b' && isSilent});
		const [b1, b2] = [toServer('b1', 'b'), toServer('b2', 'b')];
		doubts.noteSuccess(b2, 0);
		isSilent = true;
		assert.equal(doubts.toLevel(b2, 100), 0, 'its hosts may have been killed alone');
		doubts.noteFailure(b1, 200);
		assert.equal(doubts.toLevel(b2, 300), 1);
		assert.equal(doubts.toLevel(b2, 5000), 1);
		isSilent = false;
		assert.equal(doubts.toLevel(b2, 5100), 0);
		isSilent = true;
		doubts.noteSuccess(b1, 5200);
		assert.equal(doubts.toLevel(b2, 5300), 0);
	});

	it('doubts a server that refuses, and not the way to its zone', () => {
		const doubts = createServerCooldowns({zone: 'a', isZoneSilent: () => true});
		const [b1, b2, b3] = [toServer('b1', 'b'), toServer('b2', 'b'), toServer('b3', 'b')];
		doubts.noteRefusal(b1, 0);
		doubts.noteRefusal(b2, 0);
		assert.deepEqual([b1, b2, b3].map(server => doubts.toLevel(server, 500)), [2, 2, 0]);
		assert.equal(doubts.toLevel(b1, 1500), 0);
	});

	it('forgets servers that are no longer published', () => {
		const doubts = createServerCooldowns({zone: 'a'});
		const server = toServer('s1', 'b');
		doubts.noteFailure(server, 0);
		doubts.keepOnly(new Set());
		assert.equal(doubts.toLevel(server, 100), 0);
	});
});
