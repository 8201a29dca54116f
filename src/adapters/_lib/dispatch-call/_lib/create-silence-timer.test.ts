import assert from 'node:assert/strict';
import {
	beforeEach, describe, it, mock,
} from 'node:test';
import {createSilenceTimer} from './create-silence-timer.js';

const afterMs = 100;

let ended: number;
let mayEnd: boolean;
const create = () => createSilenceTimer({afterMs, mayEnd: () => mayEnd}, () => {
	ended++;
});

describe('createSilenceTimer', () => {
	beforeEach(() => {
		mock.timers.reset();
		mock.timers.enable({apis: ['setTimeout']});
		ended = 0;
		mayEnd = true;
	});

	it('ends an answer that is silent', () => {
		create().restart();
		mock.timers.tick(afterMs - 1);
		assert.equal(ended, 0);
		mock.timers.tick(1);
		assert.equal(ended, 1);
	});

	it('does not end one that may not be ended, and asks again', () => {
		mayEnd = false;
		create().restart();
		mock.timers.tick(afterMs);
		assert.equal(ended, 0);
		mayEnd = true;
		mock.timers.tick(afterMs);
		assert.equal(ended, 1);
	});

	it('begins anew with each byte, and ends nothing once it is stopped', () => {
		const timer = create();
		timer.restart();
		mock.timers.tick(afterMs - 1);
		timer.restart();
		mock.timers.tick(afterMs - 1);
		timer.stop();
		mock.timers.tick(afterMs);
		assert.equal(ended, 0);
	});
});
