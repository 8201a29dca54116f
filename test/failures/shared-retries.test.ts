/** Retries that hosts spend together, as seen by callers of one of them. */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {waitUntil} from '../_lib/wait-until/index.js';
import {deadlineMs, startRelayFixture, type RelayFixture} from '../stand-ins/users-platform/start-relay-fixture.js';

const retrySlack = 400;
/** Retries that each host keeps for itself: half of a twentieth, as it assumes twenty hosts at least. */
const ownPart = retrySlack / 2 / 20;

let fixture: RelayFixture;

// Guards against a host that refuses its callers for want of retries while the other host leaves its own unspent.
describe('relay: all refused calls arrive at one of two hosts', () => {
	before(async () => {
		fixture = await startRelayFixture({hosts: 2, retrySlack});
	});
	after(async () => fixture.stop());

	/** Sends a lookup that one server refuses. */
	async function askRefused(): Promise<number> {
		const {servers, ask} = fixture;
		// A server counts as full for some time after it refused a call.
		await sleep(60);
		servers.desk1.addFaults('refuse');
		const answer = await ask({path: '/lookup/'});
		servers.desk1.clearFaults();
		return answer.status;
	}

	const toDecisions = () => fixture.logs().filter(({message}) => message === 'retry decided');

	it('retries more of them than its own part of the retries allows', async () => {
		await waitUntil(async () => {
			await askRefused();
			return toDecisions().at(-1)?.limit === ownPart;
		}, {deadlineMs, what: 'the host to know how many hosts there are'});
		const statuses: number[] = [];
		for (let i = 0; i < 2 * ownPart; i++) {
			statuses.push(await askRefused());
		}

		assert.ok(statuses.every(status => status === 200), statuses.join(' '));
		const shared = toDecisions().filter(({reason}) => reason === 'granted-shared').length;
		assert.ok(shared >= ownPart / 2, `${shared} shared`);
	});
});
