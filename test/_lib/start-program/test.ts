import assert from 'node:assert/strict';
import {type Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {describe, it} from 'node:test';
import {waitUntil} from '../wait-until/index.js';
import {startProgram, toArguments} from './index.js';

const isAlive = (pid: number): boolean => {
	try {
		return process.kill(pid, 0);
	} catch {
		return false;
	}
};

describe('startProgram', () => {
	it('starts a program, returns its ports and stops it', async () => {
		const program = await startProgram({program: 'plain', flags: {id: 'desk-1', port: 0}});
		const answer = await fetch(`http://127.0.0.1:${program.port('port')}/echo`, {method: 'POST', body: 'parcel'});
		assert.equal(await answer.text(), 'parcel');
		assert.deepEqual(await program.stop(), {code: 0, signal: null});
		assert.equal(program.isRunning(), false);
	});

	it('stops a paused program', async () => {
		const program = await startProgram({program: 'plain'});
		program.pause();
		const exit = await program.stop();
		assert.equal(exit.code, 0);
	});

	it('leaves no program running when the test file is killed with SIGKILL', async () => {
		const harness = new URL('index.js', import.meta.url).href;
		const script = `const {startProgram} = await import('${harness}'); console.log((await startProgram({program: 'plain'})).pid); setInterval(() => {}, 1000);`;
		const parent = spawn(process.execPath, ['--input-type=module', '--eval', script], {stdio: ['ignore', 'pipe', 'inherit']});
		try {
			const [text] = await once(parent.stdout, 'data') as [Buffer];
			const pid = Number(text.toString());
			assert.ok(isAlive(pid));
			parent.kill('SIGKILL');
			await waitUntil(() => !isAlive(pid), {deadlineMs: 10_000, what: 'the program to exit after its parent was killed'});
		} finally {
			parent.kill('SIGKILL');
		}
	});

	it('rejects with the output of a program that exits before it listens', async () => {
		await assert.rejects(startProgram({program: 'engine', flags: {role: 'baker'}}), /baker/v);
	});

	it('converts named flags to the arguments that the programs accept', () => {
		assert.deepEqual(toArguments({
			hostId: 'a-1', 'peer-port': 0, seeds: ['127.0.0.1:1', '127.0.0.1:2'], verbose: true, none: undefined,
		}), ['--host-id', 'a-1', '--peer-port', '0', '--seeds', '127.0.0.1:1,127.0.0.1:2', '--verbose']);
	});
});
