/** The port on which hosts pass requests on to each other. */
import assert from 'node:assert/strict';
import {request, type IncomingHttpHeaders} from 'node:http';
import {
	after, before, describe, it,
} from 'node:test';
import {waitUntil} from '../_lib/wait-until/index.js';
import {deadlineMs, startRelayFixture, type RelayFixture} from '../stand-ins/users-platform/start-relay-fixture.js';

type PassedAnswer = {status: number; headers: IncomingHttpHeaders; body: string; isWhole: boolean};

/** Sends a request to the second host, as the first one passes it on. */
async function sendPassed(fixture: RelayFixture, {path = '/lookup/1', ...headers}: Record<string, string>): Promise<PassedAnswer> {
	const [host, port] = fixture.peerAddresses[1]!.split(':');
	return new Promise((resolve, reject) => {
		const req = request({
			host, port, path, method: 'POST', agent: false, headers: {host: 'desk.example', 'x-banyanport-runs': '0', ...headers},
		}, res => {
			let body = '';
			res.setEncoding('utf8').on('data', (piece: string) => {
				body += piece;
			}).once('close', () => {
				resolve({
					status: res.statusCode!, headers: res.headers, body, isWhole: res.complete,
				});
			});
		});
		req.once('error', reject);
		req.end();
	});
}

describe('requests that a host passes on', () => {
	let fixture: RelayFixture;
	before(async () => {
		fixture = await startRelayFixture({hosts: 2});
	});
	after(async () => fixture.stop());

	const send = async (headers: Record<string, string>, to = fixture): Promise<PassedAnswer> => sendPassed(to, headers);

	const findRuns = (id: string) => [fixture.servers.desk1, fixture.servers.desk2].flatMap(server => server.runs()).filter(({headers}) => headers['request-id'] === id);

	it('are served like those of callers, without the headers between hosts', async () => {
		const answer = await send({'request-id': 'passed-1', 'x-banyanport-time-left': '700', 'x-banyanport-edition': '1'});
		assert.equal(answer.status, 200);
		assert.equal(answer.headers['x-banyanport-outcome'], undefined);
		assert.match(String(answer.headers['server-seal']), /^seal-of-desk/v);
		const {headers} = findRuns('passed-1')[0]!;
		assert.deepEqual(Object.keys(headers).filter(name => name.startsWith('x-banyanport')), []);
		assert.ok(Number(headers['deadline-ms']) <= 700);
	});

	it('are refused as not run by a host with an older configuration', async () => {
		const answer = await send({'request-id': 'passed-2', 'x-banyanport-time-left': '700', 'x-banyanport-edition': '99'});
		assert.deepEqual([answer.status, answer.headers['x-banyanport-outcome']], [503, 'not-run']);
		assert.equal(findRuns('passed-2').length, 0);
	});

	for (const [name, headers] of [['no deadline', {'x-banyanport-edition': '1'}], ['no edition', {'x-banyanport-time-left': '700'}], ['a deadline that is no number', {'x-banyanport-time-left': 'soon', 'x-banyanport-edition': '1'}], ['a negative number of runs', {'x-banyanport-time-left': '700', 'x-banyanport-edition': '1', 'x-banyanport-runs': '-1'}]] as const) {
		it(`are refused with ${name}`, async () => {
			const answer = await send({'request-id': `passed-${name.length}`, ...headers});
			assert.deepEqual([answer.status, answer.headers['x-banyanport-outcome']], [400, 'not-run']);
		});
	}

	it('are run no more often than their route allows, with the runs before', async () => {
		fixture.servers.desk1.addFaults('fail', 'fail');
		const answer = await send({
			'request-id': 'passed-runs', path: '/check/1', 'x-banyanport-time-left': '700', 'x-banyanport-edition': '1', 'x-banyanport-runs': '1',
		});
		fixture.servers.desk1.clearFaults();
		assert.equal(answer.status, 500);
		assert.equal(findRuns('passed-runs').length, 1);
	});

	it('report the end of their deadline as a problem of the host', async () => {
		fixture.servers.desk1.addFaults('silent');
		const answer = await send({'request-id': 'passed-late', 'x-banyanport-time-left': '300', 'x-banyanport-edition': '1'});
		assert.equal(answer.status, 504);
		assert.equal(answer.headers['x-banyanport-outcome'], 'may-have-run');
	});

	// Guards against a planned stop of a host that breaks off what other hosts passed on to it.
	it('are answered whole during a planned stop, and refused after it', async context => {
		const stopping = await startRelayFixture({hosts: 2, workMs: 500});
		context.after(async () => stopping.stop());
		const headers = {'x-banyanport-time-left': '5000', 'x-banyanport-edition': '1'};
		const answering = send({'request-id': 'passed-stop', ...headers}, stopping);
		await waitUntil(() => [stopping.servers.desk1, stopping.servers.desk2].some(server => server.runs().length > 0), {deadlineMs, what: 'the run'});
		await stopping.stopRelay();
		const answer = await answering;
		assert.equal(answer.status, 200);
		assert.ok(answer.isWhole);
		await assert.rejects(send({'request-id': 'passed-after', ...headers}, stopping), {code: 'ECONNREFUSED'});
	});

	it('are not charged to their workspace again', async () => {
		fixture.setTenants([{
			name: 'limited', api_keys: ['key-1'], unit: 'token_stream', plain_tokens: 100, rate_per_s: 1, burst: 100,
		}]);
		fixture.publishRoutes(2);
		await waitUntil(() => fixture.logs().filter(line => line.edition === 2).length >= 2, {deadlineMs, what: 'the limit in force'});
		for (let i = 0; i < 5; i++) {
			const answer = await send({
				'request-id': `passed-charged-${i}`, authorization: 'Bearer key-1', 'x-banyanport-time-left': '700', 'x-banyanport-edition': '2',
			});
			assert.equal(answer.status, 200);
		}
	});
});

describe('streams that a host passes on, beside servers of two software versions', () => {
	let fixture: RelayFixture;
	before(async () => {
		fixture = await startRelayFixture({hosts: 2, versions: {decode2: 'v2'}});
	});
	after(async () => fixture.stop());

	let nextId = 0;

	async function send(over: Record<string, string>): Promise<PassedAnswer> {
		nextId++;
		return sendPassed(fixture, {
			path: '/notice/1', 'request-id': `stream-${nextId}`, model: 'm', 'token-count': '300,200', 'x-banyanport-time-left': '5000', 'x-banyanport-edition': '1', ...over,
		});
	}

	it('run only at the version that the other host names, and say where they run', async () => {
		for (let i = 0; i < 8; i++) {
			const {status, headers, body} = await send({'x-banyanport-origin': 'pool=model&software-version=v2', 'last-event-id': '1'});
			assert.equal(status, 200);
			assert.equal(headers['x-banyanport-origin'], 'pool=model&software-version=v2');
			assert.deepEqual(body.match(/ at v\d/gv), [' at v2', ' at v2']);
		}
	});

	it('run at any version if the other host says that they have not begun, and say where they run', async () => {
		const {status, headers, body} = await send({'x-banyanport-origin': 'none'});
		assert.equal(status, 200);
		const [version] = /v\d/v.exec(body) ?? [];
		assert.equal(headers['x-banyanport-origin'], `pool=model&software-version=${version}`);
	});

	// Guards against a host of an older build whose streams this host would continue at any version.
	it('are refused as not run if the other host does not say where they began', async () => {
		const {status, headers} = await send({'last-event-id': '1'});
		assert.deepEqual([status, headers['x-banyanport-outcome']], [503, 'not-run']);
	});

	it('are refused as not run if no server of the version is left', async () => {
		const {status, headers} = await send({'x-banyanport-origin': 'pool=model&software-version=v9', 'last-event-id': '1'});
		assert.deepEqual([status, headers['x-banyanport-outcome']], [503, 'not-run']);
	});
});
