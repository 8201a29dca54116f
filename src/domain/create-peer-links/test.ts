import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createPeerLinks} from './index.js';

const none = new Set<string>();
const random = () => 0.99;

describe('createPeerLinks', () => {
	it('knows when another host last had an answer', () => {
		const peers = createPeerLinks();
		assert.equal(peers.toAnsweredAt(7), -Infinity);
		peers.note('a', [{pool: 7, ageMs: 300}], 1000);
		peers.note('b', [{pool: 7, ageMs: 100}, {pool: 8, ageMs: 0}], 1000);
		assert.equal(peers.toAnsweredAt(7), 900);
		peers.note('b', [], 1100);
		assert.equal(peers.toAnsweredAt(7), 900);
	});

	it('picks any host that reaches the pool, but none that is excluded', () => {
		const peers = createPeerLinks();
		peers.note('a', [{pool: 7, ageMs: 0}], 1000);
		peers.note('b', [{pool: 7, ageMs: 0}], 1000);
		peers.note('c', [{pool: 8, ageMs: 0}], 1000);
		assert.equal(peers.pick(7, {exclude: none, now: 1100, random}), 'b');
		assert.equal(peers.pick(7, {exclude: none, now: 1100, random: () => 0}), 'a');
		assert.equal(peers.pick(7, {exclude: new Set(['b']), now: 1100, random}), 'a');
		assert.equal(peers.pick(7, {exclude: new Set(['a', 'b']), now: 1100, random}), undefined);
	});

	it('picks no host that has had no answer for two seconds, heard or not', () => {
		const peers = createPeerLinks();
		peers.note('a', [{pool: 7, ageMs: 0}], 1000);
		peers.note('b', [{pool: 7, ageMs: 1900}], 2900);
		assert.equal(peers.pick(7, {exclude: new Set(['b']), now: 3000, random}), 'a');
		assert.equal(peers.pick(7, {exclude: new Set(['a']), now: 3000, random}), 'b');
		assert.equal(peers.pick(7, {exclude: none, now: 3001, random}), undefined);
	});

	it('forgets hosts and answers', () => {
		const peers = createPeerLinks();
		peers.note('a', [{pool: 7, ageMs: 0}], 1000);
		peers.note('b', [], 11_000);
		assert.equal(peers.toAnsweredAt(7), 1000);
		peers.note('b', [], 11_001);
		assert.equal(peers.toAnsweredAt(7), -Infinity);
	});

	// Guards against passing requests on to hosts of a zone that was cut off a second ago.
	it('prefers hosts that were heard just now', () => {
		const peers = createPeerLinks();
		peers.note('a', [{pool: 7, ageMs: 0}], 1000);
		peers.note('b', [{pool: 7, ageMs: 900}], 1900);
		for (const chance of [0, 0.99]) {
			assert.equal(peers.pick(7, {exclude: none, now: 2000, random: () => chance}), 'b');
		}

		assert.equal(peers.pick(7, {exclude: new Set(['b']), now: 2000, random}), 'a');
		assert.equal(peers.pick(7, {exclude: none, now: 2600, random: () => 0}), 'a');
	});

	it('takes the newest message of a host alone', () => {
		const peers = createPeerLinks();
		peers.note('a', [{pool: 7, ageMs: 0}], 1000);
		peers.note('a', [], 1100);
		assert.equal(peers.pick(7, {exclude: none, now: 1100, random}), undefined);
	});
});
