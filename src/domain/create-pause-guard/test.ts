import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createPauseGuard} from './index.js';

describe('createPauseGuard', () => {
	it('detects a gap above its limit once', () => {
		const guard = createPauseGuard({limitMs: 1000, startedAt: 0});
		assert.deepEqual([500, 1500, 2501, 2502].map(now => guard.note(now)), [0, 0, 1001, 0]);
	});

	it('dates data that waited in a socket during a pause to the start of the pause', () => {
		const guard = createPauseGuard({limitMs: 1000, startedAt: 0});
		guard.note(100);
		assert.equal(guard.toValidAsOf(50, 60_000), 100, 'requested before the pause, read after it');
		assert.equal(guard.toValidAsOf(60_001, 60_010), 60_010, 'requested after the pause');
	});
});
