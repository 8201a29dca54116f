import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createTransferTimeouts} from './index.js';

const near = {from: 'a', to: 'a'};
const far = {from: 'a', to: 'b'};

function learn(limits: ReturnType<typeof createTransferTimeouts>, msPerMegabyte: number, count = 50): void {
	for (let i = 0; i < count; i++) {
		limits.noteDone(near, 1e6 * (1 + (i % 9)), msPerMegabyte * (1 + (i % 9)));
	}
}

describe('createTransferLimits', () => {
	it('gives no transfer up before it knows the link', () => {
		const limits = createTransferTimeouts();
		learn(limits, 1, 4);
		assert.equal(limits.toTimeoutMs(near, 1e6), Infinity);
		learn(limits, 1);
		assert.equal(limits.toTimeoutMs(far, 1e6), Infinity);
		limits.noteDone(near, 0, 5);
		assert.ok(Number.isFinite(limits.toTimeoutMs(near, 1e6)));
	});

	it('allows for the link\'s pace, and for three transfers beside it', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 1000}), fc.integer({min: 1, max: 1000}), (msPerMegabyte, megabytes) => {
			const limits = createTransferTimeouts();
			learn(limits, msPerMegabyte);
			const limitMs = limits.toTimeoutMs(near, megabytes * 1e6);
			assert.ok(limitMs >= 4 * msPerMegabyte * megabytes);
			assert.ok(limitMs <= 300 + (4.1 * msPerMegabyte * megabytes));
		}));
	});

	/*
	 * All transfers of a link become a hundred times as slow at once. Callers see
	 * a few answers begun twice and then none, because each transfer that is given
	 * up raises the limit until they pass again.
	 */
	it('stops giving up after a few when a link has become slow for all', () => {
		const limits = createTransferTimeouts();
		learn(limits, 1);
		const [bytes, takesMs] = [50e6, 5000];
		let givenUp = 0;
		for (let limitMs = limits.toTimeoutMs(near, bytes); limitMs < takesMs; limitMs = limits.toTimeoutMs(near, bytes)) {
			limits.noteTimedOut(near, bytes, limitMs);
			givenUp += 1;
			assert.ok(givenUp < 20, 'gives every transfer up');
		}

		assert.ok(givenUp > 0);
	});

	it('comes back to the pace after a stall', () => {
		const limits = createTransferTimeouts();
		learn(limits, 1);
		const usual = limits.toTimeoutMs(near, 50e6);
		limits.noteTimedOut(near, 50e6, usual);
		assert.ok(limits.toTimeoutMs(near, 50e6) > usual);
		learn(limits, 1, 100);
		assert.ok(limits.toTimeoutMs(near, 50e6) < usual * 1.1);
	});
});
