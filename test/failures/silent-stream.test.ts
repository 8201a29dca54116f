/** Resumable streams whose servers send nothing for some time. */
import assert from 'node:assert/strict';
import {
	afterEach, describe, it,
} from 'node:test';
import {startRelayFixture, toStreamHeaders, type RelayFixture} from '../stand-ins/users-platform/start-relay-fixture.js';

const requestId = 'paused-stream';

describe('a resumable stream whose server pauses', () => {
	let fixture: RelayFixture;
	afterEach(async () => fixture.stop());

	// Guards against streams that are cut at the caller while their server is at work, although no other one may continue them.
	it('is continued by another server, and goes on there once no attempt is left', async () => {
		fixture = await startRelayFixture();
		for (const server of [fixture.servers.decode1, fixture.servers.decode2]) {
			server.addFaults('paused-stream');
		}

		const answer = await fixture.ask({path: '/notice/1', body: 'prompt', headers: toStreamHeaders({accept: 'text/event-stream', 'request-id': requestId})});
		assert.ok(answer.isWhole);
		assert.equal(answer.body.match(/^id: /gmv)?.length, 3);
		assert.equal(fixture.logs().filter(({message}) => message === 'attempt failed').length, 1);
	});
});
