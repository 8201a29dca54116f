import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {startProgram, toArguments} from './index.js';

describe('startProgram', () => {
	it('gives the ports of a program and ends it', async () => {
		const program = await startProgram({program: 'plain', flags: {id: 'desk-1', port: 0}});
		const answer = await fetch(`http://127.0.0.1:${program.port('port')}/echo`, {method: 'POST', body: 'parcel'});
		assert.equal(await answer.text(), 'parcel');
		assert.deepEqual(await program.stop(), {code: 0, signal: null});
		assert.equal(program.isRunning(), false);
	});

	it('ends a paused program', async () => {
		const program = await startProgram({program: 'plain'});
		program.pause();
		const exit = await program.stop();
		assert.equal(exit.code, 0);
	});

	it('tells what a program said that ended before it listened', async () => {
		await assert.rejects(startProgram({program: 'engine', flags: {role: 'baker'}}), /baker/v);
	});

	it('writes flags as the programs take them', () => {
		assert.deepEqual(toArguments({
			hostId: 'a-1', 'peer-port': 0, seeds: ['127.0.0.1:1', '127.0.0.1:2'], verbose: true, none: undefined,
		}), ['--host-id', 'a-1', '--peer-port', '0', '--seeds', '127.0.0.1:1,127.0.0.1:2', '--verbose']);
	});
});
