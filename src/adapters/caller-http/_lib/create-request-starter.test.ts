import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRequestStarter, type Startable} from './create-request-starter.js';

function createFixture() {
	const state = {now: 0, scheduled: [] as Array<() => void>, started: [] as string[]};
	const starter = createRequestStarter({
		now: () => state.now,
		schedule(run) {
			state.scheduled.push(run);
		},
	});
	return {
		state,
		starter,
		toRequest: (id: string, maxWaitMs = 1000): Startable => ({
			readAt: state.now,
			maxWaitMs,
			start({isOverdue, turnAt}) {
				state.started.push(`${id} ${isOverdue ? 'refused' : 'started'}, read at ${turnAt}`);
			},
		}),
		runTurn() {
			state.now++;
			const [run, ...others] = state.scheduled;
			assert.equal(others.length, 0);
			state.scheduled = [];
			run?.();
		},
	};
}

describe('createRequestStarter', () => {
	it('starts a request in the second turn, and schedules none afterwards', () => {
		const {state, starter, toRequest, runTurn} = createFixture();
		starter.add(toRequest('a'));
		runTurn();
		assert.deepEqual(state.started, []);
		runTurn();
		assert.deepEqual(state.started, ['a started, read at 1']);
		assert.equal(state.scheduled.length, 0);
	});

	it('schedules none after the last caller has left', () => {
		const {state, starter, toRequest, runTurn} = createFixture();
		const request = toRequest('a');
		starter.add(request);
		assert.equal(starter.remove(request), true);
		runTurn();
		assert.equal(state.scheduled.length, 0);
		assert.equal(starter.size(), 0);
	});

	it('waits while connections are accepted', () => {
		const {state, starter, toRequest, runTurn} = createFixture();
		starter.add(toRequest('a'));
		runTurn();
		starter.noteAccepted();
		runTurn();
		assert.deepEqual(state.started, []);
		runTurn();
		assert.deepEqual(state.started, ['a started, read at 2']);
	});

	it('refuses what has waited too long behind others', () => {
		const {state, starter, toRequest, runTurn} = createFixture();
		for (const id of ['a', 'b', 'c', 'd', 'e']) {
			starter.add(toRequest(id, 1));
		}

		runTurn();
		runTurn();
		assert.deepEqual(state.started.at(-1), 'e refused, read at 1');
		assert.equal(state.started.filter(start => start.includes('started')).length, 4);
	});
});
