/*
 * Guards against small hosts that are overloaded in a burst. With the memory of all
 * servers full, a waiting request asked one server after another for a reservation,
 * a thousand calls a second with fifty servers, although eight refusals show that
 * the pool is full. The test counts the calls of one waiting request in a second for
 * several pool sizes, and checks that every server is still asked.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Milliseconds} from '../../ports/clock.js';
import {
	toConfig, toPlacementRequest, toSeededRandom, toServer, toView,
} from './_lib/fixtures.js';
import {createPlacement} from './index.js';

const callMs: Milliseconds = 1.5;
const tickMs: Milliseconds = 20;

const toFullView = (decodes: number) => {
	const servers = Array.from({length: decodes + 1}, (_, i) => toServer(`s${i}`, i === 0 ? 'prefill' : 'decode'));
	const pools = toConfig(servers).pools.map(pool => ({...pool, version: undefined, isUnreported: true}));
	return toView(toConfig(servers, {pools}), []);
};

/** Counts, by server, the calls to full servers that a request makes while it waits for a second. */
function askForSecond(decodes: number): Map<string, number> {
	const placement = createPlacement({zone: 'a'});
	const random = toSeededRandom(decodes);
	const view = toFullView(decodes);
	const calls = new Map<string, number>();
	for (let now: Milliseconds = 1000; now < 2000;) {
		const asked = new Set<string>();
		for (;;) {
			const picked = placement.pick(toPlacementRequest({exclude: asked}), view, now, random);
			if (picked.isErr()) {
				break;
			}

			const {decode} = picked.value;
			now += callMs;
			calls.set(decode.id, (calls.get(decode.id) ?? 0) + 1);
			placement.noteFailure(decode, {kind: 'refused', reason: 'full'}, now);
			asked.add(decode.id);
		}

		now += tickMs;
	}

	return calls;
}

describe('a pool of many servers whose memory is full', () => {
	/*
	 * Guards against needless refusals of callers that retry. The servers of the own
	 * zone are full and are asked first; eight refusals from them were taken for a full
	 * pool, although the servers of two other zones had room.
	 */
	it('does not count as full because the servers of one zone are full', () => {
		const servers = Array.from({length: 37}, (_, i) => toServer(`s${i}`, i === 0 ? 'prefill' : 'decode', {zone: 'abc'[i % 3]!}));
		const pools = toConfig(servers).pools.map(pool => ({...pool, version: undefined, isUnreported: true}));
		const view = toView(toConfig(servers, {pools}), []);
		const placement = createPlacement({zone: 'a'});
		const random = toSeededRandom(1);
		const asked = new Set<string>();
		for (let now: Milliseconds = 1000; ; now += callMs) {
			const {decode} = placement.pick(toPlacementRequest({exclude: asked}), view, now, random)._unsafeUnwrap();
			if (decode.zone !== 'a') {
				break;
			}

			placement.noteFailure(decode, {kind: 'refused', reason: 'full'}, now);
			asked.add(decode.id);
		}

		assert.equal(asked.size, 12);
	});

	for (const {decodes, most} of [{decodes: 6, most: 200}, {decodes: 25, most: 160}, {decodes: 55, most: 120}, {decodes: 200, most: 60}]) {
		it(`gets at most ${most} calls a second from a waiting request, with ${decodes} servers`, t => {
			const calls = askForSecond(decodes);
			const sum = [...calls.values()].reduce((total, count) => total + count, 0);
			t.diagnostic(`${sum} calls to ${calls.size} servers`);
			assert.ok(sum <= most, `${sum} calls`);
			assert.ok(sum >= 40, `only ${sum} calls`);
			assert.ok(decodes > 60 || calls.size === decodes, `${calls.size} of ${decodes} servers were asked`);
		});
	}
});
