import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createTransferTimeouts} from './index.js';

const near = {from: 'a', to: 'a'};
const far = {from: 'a', to: 'b'};

function learn(timeouts: ReturnType<typeof createTransferTimeouts>, msPerMegabyte: number, count = 50): void {
	for (let i = 0; i < count; i++) {
		timeouts.noteDone(near, 1e6 * (1 + (i % 9)), msPerMegabyte * (1 + (i % 9)));
	}
}

describe('createTransferTimeouts', () => {
	it('aborts no transfer before it has samples of the link', () => {
		const timeouts = createTransferTimeouts();
		learn(timeouts, 1, 4);
		assert.equal(timeouts.toTimeoutMs(near, 1e6), Infinity);
		learn(timeouts, 1);
		assert.equal(timeouts.toTimeoutMs(far, 1e6), Infinity);
		timeouts.noteDone(near, 0, 5);
		assert.ok(Number.isFinite(timeouts.toTimeoutMs(near, 1e6)));
	});

	it('allows the usual time of the link, with three other transfers on it (property)', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 1000}), fc.integer({min: 1, max: 1000}), (msPerMegabyte, megabytes) => {
			const timeouts = createTransferTimeouts();
			learn(timeouts, msPerMegabyte);
			const timeoutMs = timeouts.toTimeoutMs(near, megabytes * 1e6);
			assert.ok(timeoutMs >= 4 * msPerMegabyte * megabytes);
			assert.ok(timeoutMs <= 300 + (4.1 * msPerMegabyte * megabytes));
		}));
	});

	/*
	 * Guards against a link on which every transfer is aborted for good. All transfers
	 * become a hundred times as slow at once; each aborted transfer raises the timeout,
	 * so that after a few retried requests transfers succeed again.
	 */
	it('stops aborting after a few transfers when a link has become slow for all', () => {
		const timeouts = createTransferTimeouts();
		learn(timeouts, 1);
		const [bytes, takesMs] = [50e6, 5000];
		let aborted = 0;
		for (let timeoutMs = timeouts.toTimeoutMs(near, bytes); timeoutMs < takesMs; timeoutMs = timeouts.toTimeoutMs(near, bytes)) {
			timeouts.noteTimedOut(near, bytes, timeoutMs);
			aborted += 1;
			assert.ok(aborted < 20, 'aborts every transfer');
		}

		assert.ok(aborted > 0);
	});

	it('returns to the usual timeout after a stall', () => {
		const timeouts = createTransferTimeouts();
		learn(timeouts, 1);
		const usual = timeouts.toTimeoutMs(near, 50e6);
		timeouts.noteTimedOut(near, 50e6, usual);
		assert.ok(timeouts.toTimeoutMs(near, 50e6) > usual);
		learn(timeouts, 1, 100);
		assert.ok(timeouts.toTimeoutMs(near, 50e6) < usual * 1.1);
	});
});
