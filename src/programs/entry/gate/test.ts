import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createAdmission, type AdmissionRequest} from '../../../domain/create-admission/index.js';
import {type Config} from '../../../ports/config.js';
import {type FleetView} from '../../../ports/view.js';
import {createGate} from './index.js';

const toRequest = (id: string, deadline = 60_000): AdmissionRequest => ({
	id, pool: 'p', class: 'quick', workspace: 'w', promptTokens: 10, maxTokens: 10, firstTokenDeadline: deadline, deadline, queueLimit: 10,
});

/** A gate of a pool with one slot, on a clock that the test sets. */
function createFixture() {
	let time = 0;
	const gate = createGate({admission: createAdmission(), zone: 'a', now: () => time});
	const config = {
		zones: [{id: 'a', region: 'r'}], pools: [{name: 'p'}], servers: [{
			id: 'd', zone: 'a', url: '', role: 'decode', pool: 'p', slots: 1, checksFence: false,
		}],
	} as unknown as Config;
	const view: FleetView = {
		accepted: {config, version: {edition: 1, revision: 1, digest: ''}, text: ''}, hosts: new Map(), servers: new Map(), platformConfirmedAt: 0, receivedAt: 0,
	};
	gate.setView(view);
	return {
		gate,
		setPools(names: readonly string[]) {
			gate.setView({...view, accepted: {...view.accepted!, config: {...config, pools: config.pools.filter(pool => names.includes(pool.name))}}});
		},
		setTime(next: number) {
			time = next;
		},
	};
}

const never = () => new AbortController().signal;

describe('createGate', () => {
	it('admits the next request when a slot is freed', async () => {
		const {gate} = createFixture();
		await gate.enter(toRequest('r1'), never());
		const second = gate.enter(toRequest('r2'), never());
		assert.equal(gate.waiting(), 1);
		gate.leave('r1', 'completed');
		const entered = await second;
		assert.ok(entered.isOk());
	});

	it('removes a waiting request whose caller is gone, and admits the next one instead', async () => {
		const {gate} = createFixture();
		await gate.enter(toRequest('r1'), never());
		const caller = new AbortController();
		const second = gate.enter(toRequest('r2'), caller.signal);
		const third = gate.enter(toRequest('r3'), never());
		caller.abort();
		const gone = await second;
		assert.deepEqual(gone._unsafeUnwrapErr(), {reason: 'gone'});
		gate.leave('r1', 'gone');
		const entered = await third;
		assert.ok(entered.isOk());
	});

	it('refuses a waiting request at once when its deadline has passed', async () => {
		const {gate, setTime} = createFixture();
		await gate.enter(toRequest('r1'), never());
		const second = gate.enter(toRequest('r2', 1000), never());
		setTime(2000);
		gate.tick();
		const refused = await second;
		assert.equal(refused._unsafeUnwrapErr().reason, 'too-late');
		assert.equal(gate.waiting(), 0);
	});

	it('refuses waiting requests at once when their pool is removed from the configuration, and removes the pool when it is empty', async () => {
		const {gate, setPools} = createFixture();
		await gate.enter(toRequest('r1'), never());
		const second = gate.enter(toRequest('r2'), never());
		setPools([]);
		gate.tick();
		const refused = await second;
		assert.equal(refused._unsafeUnwrapErr().reason, 'no-capacity');
		gate.leave('r1', 'completed');
		setPools([]);
		gate.tick();
		assert.deepEqual(gate.status(), []);
	});

	it('refuses a request whose caller is already gone', async () => {
		const {gate} = createFixture();
		const gone = await gate.enter(toRequest('r1'), AbortSignal.abort());
		assert.deepEqual(gone._unsafeUnwrapErr(), {reason: 'gone'});
	});
});
