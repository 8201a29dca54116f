import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {errAsync, okAsync} from 'neverthrow';
import {type EngineFailure} from '../../../ports/engine.js';
import {createCancelQueue, type CancelEnd} from './index.js';

const failure: EngineFailure = {
	kind: 'unreachable', reason: undefined, server: 's', message: 'no connection', retryAfterMs: undefined,
};
const toKey = (attempt: number) => ({requestId: 'r', attempt, owner: {host: 'h', incarnation: 1}});

/** A queue on a clock that only `sleep` advances. */
function createFixture(options: {failures: number; isGone?: () => boolean; maxPerServer?: number}) {
	let time = 0;
	let calls = 0;
	const ends: CancelEnd[] = [];
	const queue = createCancelQueue({
		cancel: () => ++calls > options.failures ? okAsync(undefined) : errAsync(failure),
		isGone: options.isGone ?? (() => false),
		now: () => time,
		random: () => 0.5,
		async sleep(ms) {
			time += ms;
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		},
		onSettled(_server, _key, end) {
			ends.push(end);
		},
		maxPerServer: options.maxPerServer ?? 100,
	});
	return {queue, ends, calls: () => calls};
}

describe('createCancelQueue', () => {
	const cases: ReadonlyArray<[string, Parameters<typeof createFixture>[0], CancelEnd, number]> = [
		['ends as confirmed at the first success', {failures: 0}, 'confirmed', 1],
		['retries until the server confirms', {failures: 12}, 'confirmed', 13],
		['gives up once the server has left the configuration', {failures: Infinity, isGone: () => true}, 'server-gone', 1],
	];
	for (const [name, options, end, calls] of cases) {
		it(name, async () => {
			const fixture = createFixture(options);
			fixture.queue.add('s', toKey(1));
			await fixture.queue.settle(60_000);
			assert.deepEqual(fixture.ends, [end]);
			assert.equal(fixture.calls(), calls);
			assert.equal(fixture.queue.pending(), 0);
		});
	}

	it('drops cancels of a server that stays unreachable', async () => {
		const fixture = createFixture({failures: Infinity});
		fixture.queue.add('s', toKey(1));
		await fixture.queue.settle(3_600_000);
		assert.deepEqual(fixture.ends, ['too-old']);
	});

	it('sends nothing more once the queue is stopped', async () => {
		const fixture = createFixture({failures: Infinity});
		fixture.queue.add('s', toKey(1));
		fixture.queue.stop();
		await fixture.queue.settle(3_600_000);
		assert.equal(fixture.calls(), 1);
	});

	it('keeps a bounded number of cancels for each server', () => {
		const fixture = createFixture({failures: Infinity, maxPerServer: 5});
		for (let attempt = 1; attempt <= 50; attempt++) {
			fixture.queue.add('s', toKey(attempt));
		}

		assert.ok(fixture.queue.pending() <= 6);
		assert.ok(fixture.ends.every(end => end === 'displaced'));
	});
});
