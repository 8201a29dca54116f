import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createCloseReader} from './create-close-reader.js';

function createReader() {
	const state = {now: 0, turns: 0};
	const reader = createCloseReader({
		now: () => state.now,
		async nextTurn() {
			state.turns++;
		},
	});
	return {state, reader};
}

describe('createCloseReader', () => {
	it('waits for a whole turn of the event loop', async () => {
		const {state, reader} = createReader();
		await reader.read();
		assert.equal(state.turns, 2);
	});

	it('relies on what it read up to 100 ms ago', async () => {
		const {state, reader} = createReader();
		await reader.read();
		state.now = 100;
		await reader.read();
		assert.equal(state.turns, 2);
		state.now = 101;
		await reader.read();
		assert.equal(state.turns, 4);
	});

	it('relies on a turn that was noted', async () => {
		const {state, reader} = createReader();
		state.now = 1000;
		reader.noteRead(950);
		await reader.read();
		assert.equal(state.turns, 0);
	});

	// Guards against a reading that counts as new because the turn which it waited for was long.
	it('counts the age from the moment at which it was asked', async () => {
		const state = {now: 0, turns: 0};
		const reader = createCloseReader({
			now: () => state.now,
			async nextTurn() {
				state.turns++;
				state.now += 1000;
			},
		});
		await reader.read();
		await reader.read();
		assert.equal(state.turns, 4);
	});
});
