import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createFairQueue, type FairQueueItem} from './index.js';

const item = (id: string, workspace: string, deadline: number, cost = 1): FairQueueItem => ({
	id, workspace, deadline, cost,
});

const pushAll = (queue: ReturnType<typeof createFairQueue>, items: readonly FairQueueItem[]): void => {
	for (const each of items) {
		queue.push(each);
	}
};

const drain = (queue: ReturnType<typeof createFairQueue>): string[] => {
	const ids: string[] = [];
	for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
		ids.push(next.id);
	}

	return ids;
};

describe('createFairQueue', () => {
	it('alternates between workspaces, and keeps deadline order within one', () => {
		const queue = createFairQueue();
		pushAll(queue, [item('a2', 'a', 20), item('a1', 'a', 10), item('a3', 'a', 30), item('b1', 'b', 99)]);

		assert.deepEqual(drain(queue), ['a1', 'b1', 'a2', 'a3']);
	});

	it('uses only deadlines when the window is unbounded', () => {
		const queue = createFairQueue({windowCost: Infinity});
		pushAll(queue, [item('a1', 'a', 10), item('a2', 'a', 20), item('b1', 'b', 15)]);

		assert.deepEqual(drain(queue), ['a1', 'b1', 'a2']);
	});

	it('still charges a workspace for its served items when it returns while others wait', () => {
		const queue = createFairQueue();
		pushAll(queue, [item('b1', 'b', 50), item('a1', 'a', 10, 10)]);
		assert.equal(queue.shift()?.id, 'a1');
		pushAll(queue, [item('a2', 'a', 11, 10), item('b2', 'b', 60)]);
		assert.deepEqual(drain(queue), ['b1', 'b2', 'a2']);
	});

	it('serves each item once, counts the items before a new one, and keeps no state when empty (property)', () => {
		const arbitraryItems = fc.array(fc.record({
			workspace: fc.constantFrom('a', 'b', 'c'), deadline: fc.nat(20), cost: fc.integer({min: 1, max: 9}), isRemoved: fc.boolean(),
		}), {maxLength: 40});
		fc.assert(fc.property(arbitraryItems, fc.nat(10), (raw, windowCost) => {
			const queue = createFairQueue({windowCost});
			const items = raw.map((each, index) => ({...each, id: String(index)}));
			for (const each of items) {
				const before = queue.countBefore(each);
				assert.ok(before >= 0 && before <= queue.size);
				queue.push(each);
			}

			assert.equal(queue.list().length, items.length);
			for (const each of items.filter(one => one.isRemoved)) {
				assert.equal(queue.remove(each.id)?.id, each.id);
			}

			const expected = items.filter(each => !each.isRemoved).map(each => each.id);
			assert.deepEqual(drain(queue).sort(), expected.sort());
			assert.equal(queue.size, 0);
			assert.equal(queue.workspaces, 0);
		}));
	});

	it('serves two workspaces that always have items equally, to within one item (property)', () => {
		fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 20}), {minLength: 4, maxLength: 60}), costs => {
			const queue = createFairQueue();
			for (const [index, cost] of costs.entries()) {
				pushAll(queue, [item(`a${index}`, 'a', index, cost), item(`b${index}`, 'b', index, 21 - cost)]);
			}

			const served = {a: 0, b: 0};
			while (queue.countOf('a') > 0 && queue.countOf('b') > 0) {
				const next = queue.shift()!;
				served[next.workspace === 'a' ? 'a' : 'b'] += next.cost;
				assert.ok(Math.abs(served.a - served.b) <= 20);
			}
		}));
	});
});
