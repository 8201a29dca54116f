/** Uploads that are begun before a planned stop, or early in it, and end late in its grace period. */
import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {request} from 'node:http';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {waitUntil} from '../_lib/wait-until/index.js';
import {callerHost} from '../stand-ins/users-platform/published.js';
import {deadlineMs, startRelayFixture, type RelayFixture} from '../stand-ins/users-platform/start-relay-fixture.js';

/** Time limit of the stop in the fixture. */
const stopLimitMs = 4000;
const workMs = 600;
/** Statuses that promise that the request has not run. */
const promises = new Set([429, 503]);

type End = {id: string; wholeAtMs: number; status: number | undefined; isWhole: boolean};

/** Sends a body in two parts, the second one so long after the signal. */
async function upload(port: number, {path, wholeAtMs, stoppedAt}: {path: string; wholeAtMs: number; stoppedAt: Promise<number>}): Promise<End> {
	const id = randomUUID();
	return new Promise(resolve => {
		const req = request({
			port, host: '127.0.0.1', method: 'POST', path, agent: false, headers: {
				host: callerHost, 'request-id': id, 'deadline-ms': '20000', 'content-length': '2000',
			},
		}, res => {
			res.resume().once('close', () => {
				resolve({
					id, wholeAtMs, status: res.statusCode, isWhole: res.complete,
				});
			}).on('error', () => undefined);
		});
		req.on('error', () => {
			resolve({
				id, wholeAtMs, status: undefined, isWhole: false,
			});
		});
		req.write('x'.repeat(1000));
		const finish = async () => {
			const until = await stoppedAt + wholeAtMs;
			await sleep(Math.max(0, until - performance.now()));
			req.end('x'.repeat(1000));
		};

		void finish();
	});
}

describe('uploads that end late in a planned stop', {timeout: 60_000}, () => {
	let fixture: RelayFixture;
	before(async () => {
		fixture = await startRelayFixture({workMs});
	});
	after(async () => fixture.stop());

	// Guards against requests that a stopping host sends to a server and then cuts, among them ones that may not run again.
	it('are answered whole, or refused as not run, and the stop keeps its limit', async t => {
		const port = fixture.callerPort(0);
		fixture.publishRoutes(2, route => ({...route, timeout_ms: 14_000}));
		await waitUntil(() => fixture.logs().some(({message, edition}) => message === 'configuration in force' && edition === 2), {deadlineMs, what: 'the longer timeouts'});
		await Promise.all(Array.from({length: 8}, async () => Promise.all([fixture.ask({path: '/lookup/1'}), fixture.ask({path: '/check/1'})])));
		let noteStopped: (at: number) => void = () => undefined;
		const stoppedAt = new Promise<number>(resolve => {
			noteStopped = resolve;
		});
		const paths = ['/lookup/1', '/check/1'];
		const uploads = paths.flatMap(path => Array.from({length: 22}, async (_, i) => upload(port, {path, wholeAtMs: i * 200, stoppedAt})));
		await sleep(300);
		const startedAt = performance.now();
		noteStopped(startedAt);
		await fixture.stopRelay();
		const tookMs = performance.now() - startedAt;
		const ends = await Promise.all(uploads);
		const hasRun = (id: string): boolean => [fixture.servers.desk1, fixture.servers.desk2].some(server => server.runs().some(({headers}) => headers['request-id'] === id));
		const cut = ends.filter(({status, isWhole, id}) => !isWhole || (status !== 200 && (!promises.has(status!) || hasRun(id))));
		assert.deepEqual(cut.map(end => ({...end, hasRun: hasRun(end.id)})), []);
		assert.ok(ends.some(({status}) => status === 200) && ends.some(({status}) => status === 503), JSON.stringify(ends));
		t.diagnostic(`the stop took ${Math.round(tookMs)} ms; ${ends.filter(({status}) => status === 200).length} served, ${ends.filter(({status}) => status === 503).length} refused`);
		assert.ok(tookMs <= stopLimitMs, `the stop took ${Math.round(tookMs)} ms`);
	});
});
