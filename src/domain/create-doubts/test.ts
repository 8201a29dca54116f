import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ServerEntry} from '../../ports/config.js';
import {createDoubts} from './index.js';

const toServer = (id: string, zone: string): ServerEntry => ({
	id, zone, url: 'http://10.0.0.1:1', role: 'decode', pool: 'p', slots: 8, checksFence: false,
});

describe('createDoubts', () => {
	it('doubts a server for a second, and longer each time it fails again', () => {
		const doubts = createDoubts('a');
		const server = toServer('s1', 'b');
		doubts.noteFailure(server, 0);
		assert.deepEqual([500, 1500].map(now => doubts.toLevel(server, now)), [2, 0]);
		doubts.noteFailure(server, 2000);
		assert.deepEqual([3500, 4500].map(now => doubts.toLevel(server, now)), [2, 0]);
	});

	it('ends with one success', () => {
		const doubts = createDoubts('a');
		const server = toServer('s1', 'b');
		doubts.noteFailure(server, 0);
		doubts.noteSuccess('s1');
		assert.equal(doubts.toLevel(server, 100), 0);
	});

	/*
	 * The host's zone is cut off from another one. Each request would wait for one
	 * silent server of that zone after the other, though the own zone serves.
	 */
	it('doubts a whole zone once two of its servers failed, and never its own', () => {
		const doubts = createDoubts('a');
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

	it('forgets servers that are no longer published', () => {
		const doubts = createDoubts('a');
		const server = toServer('s1', 'b');
		doubts.noteFailure(server, 0);
		doubts.keepOnly(new Set());
		assert.equal(doubts.toLevel(server, 100), 0);
	});
});
