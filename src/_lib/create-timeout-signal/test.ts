import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import v8 from 'node:v8';
import vm from 'node:vm';
import fc from 'fast-check';
import {createTimeoutSignal} from './index.js';

describe('createTimeoutSignal', () => {
	it('accepts any remaining time, also a fraction, zero or a negative number', () => {
		fc.assert(fc.property(fc.double({min: -1e6, max: 1e6, noNaN: true}), limitMs => {
			assert.equal(createTimeoutSignal(limitMs, new AbortController().signal).aborted, false);
		}));
	});

	/*
	 * Guards against a timeout that is collected as garbage before it fires: a call to
	 * a silent server then waited until its caller had disconnected, 14 s later.
	 */
	it('fires even if garbage is collected in the meantime', async () => {
		v8.setFlagsFromString('--expose_gc');
		const collectGarbage = vm.runInNewContext('gc') as () => void;
		const other = new AbortController();
		let fired = 0;
		for (let i = 0; i < 100; i++) {
			createTimeoutSignal(50, other.signal).addEventListener('abort', () => {
				fired++;
			}, {once: true});
		}

		collectGarbage();
		await sleep(10);
		collectGarbage();
		await sleep(1000);
		assert.equal(fired, 100);
	});

	it('aborts with the other signal', () => {
		const other = new AbortController();
		const signal = createTimeoutSignal(60_000, other.signal);
		other.abort('gone');
		assert.equal(signal.reason, 'gone');
	});
});
