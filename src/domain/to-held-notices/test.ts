import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toServer} from '../create-placement/_lib/fixtures.js';
import {type HeldOrder, type HeldReason} from '../plan-rollout/index.js';
import {toHeldNotices} from './index.js';

const servers = Array.from({length: 8}, (_, i) => toServer(`d${i}`, 'decode', {zone: i < 7 ? 'a' : 'b'}));
const toHeld = (server: string, reason: HeldReason): HeldOrder => ({
	server,
	group: 'main/decode',
	isDisruptive: true,
	reason,
	order: {
		kind: 'load-version', model: 'm', version: 'v2', adapter: undefined, role: undefined, fence: 2,
	},
});

describe('toHeldNotices', () => {
	it('groups orders by pool, zone and reason, and names the first few servers', () => {
		const notices = toHeldNotices([...servers.map(({id}) => toHeld(id, 'turn')), toHeld('d0', 'store-rate'), toHeld('stranger', 'turn')], {servers});
		assert.deepEqual(notices.map(({zone, reason, count, servers: named}) => [zone, reason, count, named.length]), [['a', 'turn', 7, 5], ['b', 'turn', 1, 1], ['a', 'store-rate', 1, 1]]);
	});

	for (const reason of ['last-copy', 'last-pair', 'last-zone-pair', 'no-stand-in', 'zone-turn', 'turn'] as const) {
		it(`names allow-gap as a remedy for ${reason}`, () => {
			const [notice] = toHeldNotices([toHeld('d0', reason)], {servers});
			assert.ok(notice?.needsStaff);
			assert.match(notice.remedy, /rollout: allow-gap/);
		});
	}
});
