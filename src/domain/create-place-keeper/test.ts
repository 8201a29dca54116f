import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {placeLifetimeMs} from '../../ports/places.js';
import {createPlaceKeeper} from './index.js';

const toRequest = (holder: string, isForced = false) => ({
	server: 's', slots: 2, holder, isForced,
});

describe('createPlaceKeeper', () => {
	it('counts requests up to the slots of the server, and more only if forced', () => {
		const keeper = createPlaceKeeper();
		const answers = [toRequest('a'), toRequest('b'), toRequest('c'), toRequest('c', true)].map(request => keeper.take(request, 0));
		assert.deepEqual(answers, [{isTaken: true, count: 0}, {isTaken: true, count: 1}, {isTaken: false, count: 2}, {isTaken: true, count: 2}]);
	});

	it('frees a place when its request leaves, and forgets servers without requests', () => {
		const keeper = createPlaceKeeper();
		keeper.take(toRequest('a'), 0);
		keeper.leave('s', 'a');
		keeper.leave('s', 'unknown');
		assert.equal(keeper.size(), 0);
	});

	// Guards against servers that count as full for good because hosts were lost with their requests.
	it('frees the places of requests that never leave after their lifetime', () => {
		const keeper = createPlaceKeeper();
		keeper.take(toRequest('a'), 0);
		keeper.take(toRequest('b'), 1);
		assert.equal(keeper.take(toRequest('c'), placeLifetimeMs - 1).isTaken, false);
		assert.deepEqual(keeper.take(toRequest('c'), placeLifetimeMs), {isTaken: true, count: 1});
	});
});
