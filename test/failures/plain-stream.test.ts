/** Resumable streams of services that compute no prompts. */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {startRelayFixture, toStreamHeaders, type RelayFixture} from '../stand-ins/users-platform/start-relay-fixture.js';

const requestId = 'cut-plain-stream';

const events = [1, 2, 3].map(event => `id: ${event}\ndata: piece ${event} of ${requestId}\n\n`).join('');

describe('a resumable stream of a plain service', () => {
	let fixture: RelayFixture;
	before(async () => {
		fixture = await startRelayFixture();
		fixture.publishRoutes(2, route => route.name === 'notices' ? {...route, service: 'desk'} : route);
	});
	after(async () => fixture.stop());

	// Guards against a stream that begins anew at its second server, so that its caller gets the first events twice.
	it('goes on after the last event that its caller has', async () => {
		const ask = async (id: string) => fixture.ask({path: '/notice/1', body: 'prompt', headers: toStreamHeaders({accept: 'text/event-stream', 'request-id': id})});
		const isServed = () => [fixture.servers.desk1, fixture.servers.desk2].some(server => server.runs().length > 0);
		for (let n = 0; !isServed(); n++) {
			assert.ok(n < 200, 'the changed route did not come into force');
			await ask(`before-${n}`);
			await sleep(50);
		}

		fixture.servers.desk1.addFaults('cut-stream');
		const answer = await ask(requestId);
		assert.equal(answer.body, events);
		assert.ok(answer.isWhole);
	});
});
