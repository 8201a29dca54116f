/** The bundled program, which is the only one that the users' machines run. */
import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {rm} from 'node:fs/promises';
import {before, describe, it} from 'node:test';
import {promisify} from 'node:util';

const run = promisify(execFile);

/** Flag with which it is built and run; V8 takes compiled code only with the flags that it was compiled with. */
const flags = ['--max-old-space-size=96'];

/** Starts the program and returns whether V8 took the compiled code. */
async function isCacheTaken(): Promise<boolean> {
	const code = 'const {loadProgram, readCache} = await import("./deploy/load-program.js"); process.stdout.write(String(loadProgram(readCache()).script.cachedDataRejected));';
	const {stdout} = await run('node', [...flags, '--input-type=module', '--eval', code]);
	return stdout === 'false';
}

describe('bundle', () => {
	before(async () => {
		await run('node', [...flags, 'deploy/bundle.js']);
	});

	it('starts and prints its settings', async () => {
		const {stdout} = await run('node', [...flags, 'deploy/start.js', '--help']);
		assert.match(stdout, /--platform-address/v);
	});

	// Guards against hosts that come back later after a kill, as they compile the program at each start.
	it('starts with the code that was compiled when it was built', async () => {
		assert.equal(await isCacheTaken(), true);
	});

	it('starts without that code, too', async () => {
		await rm('target/banyanport-relay.cache');
		const {stdout} = await run('node', [...flags, 'deploy/start.js', '--help']);
		assert.match(stdout, /--platform-address/v);
		await run('node', [...flags, 'deploy/bundle.js']);
	});
});
