import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {startFollowed} from './_test/start-followed.js';

describe('followPublished: eras', () => {
	/* Guards against a host that ignores all answers after the platform has restarted its count of eras. */
	it('takes an older era for the current one when all answers name it', async () => {
		const followed = startFollowed(() => 0.5);
		const {time, platform} = followed;
		await time.runUntil(3000);
		platform.setEra(0);
		platform.publishRules();
		await time.runUntil(20_000);
		assert.equal(followed.follower.toView()?.accepted?.version.edition, 2);
		await followed.stop();
	});

	/* Guards against a late answer that was sent before the platform's return. */
	it('ignores answers of an older era, and accepts those of the current one after them', async () => {
		const followed = startFollowed(() => 0.5);
		const {time, platform} = followed;
		const edition = () => followed.follower.toView()?.accepted?.version.edition;
		await time.runUntil(3000);
		platform.setEra(2);
		await time.runUntil(8000);
		platform.setEra(1);
		platform.publishRules();
		await time.runUntil(8700);
		assert.equal(edition(), 1);
		platform.setEra(2);
		await time.runUntil(12_000);
		assert.equal(edition(), 2);
		await followed.stop();
	});

	/* Guards against a watch from a revision of the lost era: changes with lower revisions would be seen seconds late. */
	it('reads everything at once after a refusal that names a new era', async () => {
		const followed = startFollowed(() => 0.5);
		const {time, platform} = followed;
		await time.runUntil(3000);
		const copy = platform.backup();
		for (const name of ['lost-1', 'lost-2', 'lost-3']) {
			platform.put(name);
		}

		await time.runUntil(6000);
		platform.setReachability('refusing');
		platform.restoreFrom(copy);
		await time.runUntil(7000);
		for (const name of ['below', 'above-1', 'above-2', 'above-3']) {
			platform.put(name);
		}

		platform.setReachability('well');
		await time.runUntil(7500);
		assert.ok(followed.used().includes('below'), followed.used().join(' '));
		await followed.stop();
	});
});
