/** The bundled program, which is the only file that the users' machines run. */
import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {describe, it} from 'node:test';
import {promisify} from 'node:util';

const run = promisify(execFile);

describe('bundle', () => {
	it('starts and prints its settings', async () => {
		await run('node', ['deploy/bundle.js']);
		const {stdout} = await run('node', ['target/banyanport-relay.js', '--help']);
		assert.match(stdout, /--platform-address/v);
	});
});
