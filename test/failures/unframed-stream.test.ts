/** Streams that end with their connection, and servers that close it in the middle of an event. */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {startRelayFixture, toStreamHeaders, type RelayFixture} from '../stand-ins/users-platform/start-relay-fixture.js';

const toEvents = (requestId: string): string => [1, 2, 3].map(event => `id: ${event}\ndata: piece ${event} of ${requestId}\n\n`).join('');

// Guards against a truncated stream that its caller receives as complete, because the server closed the connection in order.
describe('a stream that ends with its connection', () => {
	let fixture: RelayFixture;
	before(async () => {
		fixture = await startRelayFixture();
	});
	after(async () => fixture.stop());

	const ask = async (path: string, requestId: string) => fixture.ask({path, body: 'prompt', headers: toStreamHeaders({'request-id': requestId})});

	for (const path of ['/summary/1', '/notice/1']) {
		it(`is complete after its last event on ${path}`, async () => {
			fixture.servers.decode1.addFaults('unframed-stream');
			const requestId = `whole-of${path.replaceAll('/', '-')}`;
			const answer = await ask(path, requestId);
			assert.equal(answer.body, toEvents(requestId));
			assert.ok(answer.isWhole);
		});
	}

	it('is broken for the caller if it stops inside an event and can\'t be resumed', async () => {
		fixture.servers.decode1.addFaults('cut-unframed-stream');
		const answer = await ask('/summary/1', 'cut-1');
		assert.ok(toEvents('cut-1').startsWith(answer.body.slice(0, answer.body.lastIndexOf('id: '))));
		assert.equal(answer.isWhole, false);
	});

	it('goes on at another server if it stops inside an event and can be resumed', async () => {
		fixture.servers.decode1.addFaults('cut-unframed-stream');
		const answer = await ask('/notice/1', 'cut-2');
		assert.equal(answer.body, toEvents('cut-2'));
		assert.ok(answer.isWhole);
	});
});
