/** Resumable streams whose servers send nothing for some time. */
import assert from 'node:assert/strict';
import {
	afterEach, describe, it,
} from 'node:test';
import {waitUntil} from '../_lib/wait-until/index.js';
import {
	deadlineMs, startRelayFixture, toStreamHeaders, type RelayFixture,
} from '../stand-ins/users-platform/start-relay-fixture.js';

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

	// Guards against streams that are cut at the caller while the only server that may continue them is at work.
	for (const [what, leave] of Object.entries({
		'is leaving'(one: RelayFixture) {
			one.publishServer(one.servers.decode2, {state: 'draining', sequence: 2});
		},
		'has another software version'(one: RelayFixture) {
			one.publishServer(one.servers.decode2, {version: 'v2', sequence: 2});
		},
		'is gone'(one: RelayFixture) {
			one.store.remove('servers/decode2');
		},
	})) {
		it(`stays there if the other server ${what}`, async () => {
			fixture = await startRelayFixture({versions: {}});
			leave(fixture);
			await waitUntil(() => fixture.logs().some(({message, server}) => message === 'server changed' && server === 'decode2' && fixture.logs().filter(line => line.server === 'decode2').length > 1) || undefined, {deadlineMs, what: 'the host to know'});
			fixture.servers.decode1.addFaults('paused-stream');
			const answer = await fixture.ask({path: '/notice/1', body: 'prompt', headers: toStreamHeaders({accept: 'text/event-stream', 'request-id': requestId, 'prompt-prefix': 'own:10'})});
			assert.ok(answer.isWhole, fixture.logs().map(({message, reason}) => [message, reason].join(' ')).join('\n'));
			assert.equal(fixture.logs().filter(({message}) => message === 'attempt failed').length, 0);
		});
	}
});
