import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {startFollowed} from './_test/start-followed.js';

/** Follows a platform that removes a server, after what it tells before. */
async function removeServer(before: (followed: ReturnType<typeof startFollowed>) => void): Promise<{lost: readonly string[]; left: readonly string[]}> {
	const followed = startFollowed(() => 0.5);
	await followed.time.runUntil(5000);
	before(followed);
	await followed.time.runUntil(8000);
	followed.platform.remove('leaves');
	await followed.time.runUntil(12_000);
	await followed.stop();
	assert.ok(followed.left().every(({sinceMs}) => sinceMs >= 2500 && sinceMs <= 4500));
	return {lost: followed.lost(), left: followed.left().map(({id}) => id)};
}

// Guards against counting a planned stop as the end of a server under a request, and against missing an end that closed no connection.
describe('followPublished, of servers that are published no more', () => {
	it('reports one that had announced nothing', async () => {
		assert.deepEqual(await removeServer(() => undefined), {lost: ['leaves'], left: []});
	});

	it('reports one that the platform published as leaving as left', async () => {
		assert.deepEqual(await removeServer(({platform}) => {
			platform.put('leaves', true);
		}), {lost: [], left: ['leaves']});
	});

	it('reports one that announced itself that it leaves as left', async () => {
		assert.deepEqual(await removeServer(({follower}) => {
			follower.noteLeaving('leaves');
		}), {lost: [], left: ['leaves']});
	});
});
