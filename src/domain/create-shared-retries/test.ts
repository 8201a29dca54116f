import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSharedRetries} from './index.js';

const rate = {perSecond: 1, burst: 60};
const createShared = () => createSharedRetries({toPart: () => ({hosts: 58, rate})});

describe('createSharedRetries', () => {
	it('asks for retries of a pool under a name that no workspace can have', () => {
		const spend = createShared().toSpend('model', 2, 0)!;
		assert.deepEqual(spend, {
			workspace: '\nretries model', cost: 2, edition: 58, rate,
		});
		assert.throws(() => new Headers({workspace: `a${spend.workspace}b`}));
	});

	it('asks for nothing while this host may not use the shared part, or where there is none', () => {
		for (const part of [undefined, {hosts: 400, rate: {perSecond: 0, burst: 0}}]) {
			assert.equal(createSharedRetries({toPart: () => part}).toSpend('model', 1, 0), undefined);
		}
	});

	it('collects the surplus of a pool, and gives it away every five seconds', () => {
		const shared = createShared();
		const given = [0, 2000, 4999, 5000, 5001, 9999, 10_000].map(now => shared.addSurplus('model', 0.5, now)?.cost);
		assert.deepEqual(given, [undefined, undefined, undefined, 2, undefined, undefined, 1.5]);
	});

	it('keeps the surplus of pools apart', () => {
		const shared = createShared();
		shared.addSurplus('model', 1, 0);
		shared.addSurplus('desk', 4, 0);
		assert.deepEqual([shared.addSurplus('model', 1, 6000), shared.addSurplus('desk', 1, 6000)].map(spend => [spend?.workspace, spend?.cost]), [['\nretries model', 2], ['\nretries desk', 5]]);
	});
});
