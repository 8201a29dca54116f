import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {pickTreeChildren} from './index.js';

/** Counts how often each host receives the message in one round, when `failed` hosts do not forward it. */
function tell(hosts: readonly string[], round: string, failed: ReadonlySet<string> = new Set()): Map<string, number> {
	const told = new Map<string, number>();
	const todo = [hosts[0]!];
	for (const self of todo) {
		told.set(self, (told.get(self) ?? 0) + 1);
		todo.push(...failed.has(self) ? [] : pickTreeChildren(round, hosts, hosts[0]!, self));
	}

	return told;
}

describe('pickTreeChildren', () => {
	it('reaches every host once', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 60}), fc.string(), (count, round) => {
			const hosts = Array.from({length: count}, (_, i) => `h${i}`);
			const told = tell(hosts, round);
			assert.equal(told.size, count);
			assert.ok([...told.values()].every(times => times === 1));
		}));
	});

	it('reaches within some rounds every host that missed one because of failed hosts', () => {
		const hosts = Array.from({length: 33}, (_, i) => `h${i}`);
		const missed = new Set(hosts);
		for (let round = 0; round < 8; round++) {
			for (const id of tell(hosts, `h0 ${round}`, new Set(['h1', 'h2', 'h3'])).keys()) {
				missed.delete(id);
			}
		}

		assert.deepEqual([...missed], []);
	});

	it('picks no children for a host that is not in the list', () => {
		assert.deepEqual(pickTreeChildren('r', ['a', 'b'], 'a', 'z'), []);
	});
});
