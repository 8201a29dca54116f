import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import * as fc from 'fast-check';
import {createStartQueue, type StartQueue} from './index.js';

const noneAccepted = {hasAccepted: false};

/** Adds requests that were read one millisecond after the other, and lets a turn pass. */
function fill(queue: StartQueue<string>, requests: readonly string[], maxWaitMs = 1000): void {
	for (const [readAt, request] of requests.entries()) {
		queue.add(request, {readAt, maxWaitMs});
	}

	queue.take(0, {hasAccepted: true});
}

describe('createStartQueue', () => {
	// Guards against a request that is started before the close behind it was read.
	it('starts a request only after a whole turn', () => {
		const queue = createStartQueue<string>();
		queue.add('a', {readAt: 0, maxWaitMs: 1000});
		assert.deepEqual(queue.take(0, noneAccepted), {started: [], refused: []});
		assert.deepEqual(queue.take(1, noneAccepted), {started: ['a'], refused: []});
		assert.equal(queue.size(), 0);
	});

	it('starts none whose caller has left', () => {
		const queue = createStartQueue<string>();
		fill(queue, ['a', 'b']);
		assert.equal(queue.remove('a'), true);
		assert.equal(queue.remove('a'), false);
		assert.deepEqual(queue.take(1, noneAccepted).started, ['b']);
	});

	it('starts a few in each turn, in the order in which they were read', () => {
		const queue = createStartQueue<string>({startsPerTurn: 2});
		fill(queue, ['a', 'b', 'c']);
		assert.deepEqual(queue.take(1, noneAccepted).started, ['a', 'b']);
		assert.deepEqual(queue.take(2, noneAccepted).started, ['c']);
	});

	// Guards against a host that works off a backlog of requests whose callers are about to leave.
	it('starts the newest first once the oldest has waited for long', () => {
		const queue = createStartQueue<string>({startsPerTurn: 2, behindMs: 100});
		fill(queue, ['a', 'b', 'c']);
		assert.deepEqual(queue.take(101, noneAccepted).started, ['c', 'b']);
		assert.deepEqual(queue.take(102, noneAccepted).started, ['a']);
	});

	it('refuses those that have waited for too long, behind the newest', () => {
		const queue = createStartQueue<string>({startsPerTurn: 1});
		queue.add('quick', {readAt: 0, maxWaitMs: 300});
		queue.add('patient', {readAt: 1, maxWaitMs: 1000});
		queue.add('newest', {readAt: 2, maxWaitMs: 1000});
		queue.take(2, noneAccepted);
		assert.deepEqual(queue.take(301, noneAccepted), {started: ['newest'], refused: ['quick']});
		assert.deepEqual(queue.take(302, noneAccepted), {started: ['patient'], refused: []});
	});

	// Guards against refusals after a pause of a host that has nothing else to do.
	it('refuses none that can be started at once', () => {
		const queue = createStartQueue<string>();
		queue.add('a', {readAt: 0, maxWaitMs: 300});
		queue.take(0, noneAccepted);
		assert.deepEqual(queue.take(5000, noneAccepted), {started: ['a'], refused: []});
	});

	// Guards against connections that nobody accepts while requests are started, and whose callers leave meanwhile.
	it('accepts connections before it starts requests, for 50 ms at most', () => {
		const queue = createStartQueue<string>({startsPerTurn: 1, acceptFirstMs: 50});
		fill(queue, ['a', 'b', 'c']);
		assert.deepEqual(queue.take(10, {hasAccepted: true}).started, []);
		assert.deepEqual(queue.take(50, {hasAccepted: true}).started, ['a']);
		assert.deepEqual(queue.take(60, {hasAccepted: true}).started, []);
		assert.deepEqual(queue.take(70, noneAccepted).started, ['b']);
	});

	it('returns each request once, or not at all if its caller has left', () => {
		fc.assert(fc.property(
			fc.array(fc.record({leaves: fc.boolean(), waitMs: fc.nat(300), accepts: fc.boolean()}), {maxLength: 60}),
			courses => {
				const queue = createStartQueue<number>({startsPerTurn: 2});
				const returned: number[] = [];
				let now = 0;
				const left = new Set<number>();
				const take = (hasAccepted: boolean): void => {
					const {started, refused} = queue.take(now, {hasAccepted});
					returned.push(...started, ...refused);
				};

				for (const [request, {leaves, waitMs, accepts}] of courses.entries()) {
					queue.add(request, {readAt: now, maxWaitMs: 200});
					take(accepts);
					now += waitMs;
					if (leaves && queue.remove(request)) {
						left.add(request);
					}
				}

				for (let turn = 0; queue.size() > 0; turn++) {
					assert.ok(turn <= courses.length + 1, 'the queue does not become empty');
					take(false);
				}

				const expected = [...courses.keys()].filter(request => !left.has(request));
				assert.deepEqual(returned.toSorted((a, b) => a - b), expected);
			},
		));
	});
});
