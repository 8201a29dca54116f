import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createCatchUp} from '../../../domain/create-catch-up/index.js';
import {awaitCatchUp} from './index.js';

const clock = {now: () => performance.now()};

describe('awaitCatchUp', () => {
	it('lets nothing wait on a host that knows what the others know', {timeout: 10_000}, async () => {
		const catchUp = createCatchUp({
			zone: 'z', startedAt: clock.now(), toPeers: () => [], ask: () => undefined,
		});
		await awaitCatchUp(catchUp, clock)();
	});

	// Guards against requests that wait for ever on a host whose questions nobody answers.
	it('asks again and ends by itself where no other host answers', {timeout: 10_000}, async () => {
		let asked = 0;
		const catchUp = createCatchUp({
			zone: 'z',
			startedAt: clock.now(),
			toPeers: () => ['10.0.0.2:7380'],
			ask() {
				asked++;
			},
		});
		catchUp.begin('start', clock.now());
		await awaitCatchUp(catchUp, clock)();
		assert.equal(catchUp.isBehind(clock.now()), false);
		assert.ok(asked > 1);
	});
});
