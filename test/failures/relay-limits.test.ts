/** Limits of a configuration, while callers keep connections open and hosts pass requests on to each other. */
import assert from 'node:assert/strict';
import {request, Agent} from 'node:http';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {waitUntil} from '../_lib/wait-until/index.js';
import {deadlineMs, startRelayFixture, type RelayFixture} from '../stand-ins/users-platform/start-relay-fixture.js';

const usual = {
	header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
};
const longHeaders = {'prompt-prefix': 'x'.repeat(20_000), 'deadline-ms': '3000'};

describe('limits of a configuration', {timeout: 120_000}, () => {
	let fixture: RelayFixture;
	let version = 1;
	before(async () => {
		fixture = await startRelayFixture({hosts: 2, hasLinks: true});
	});
	after(async () => {
		await fixture.stop();
	});

	async function publish(limits: Readonly<Record<string, number>> | null): Promise<void> {
		version++;
		fixture.setLimits(limits);
		fixture.publishRoutes(version);
		const count = () => fixture.logs().filter(({message, edition}) => message === 'configuration in force' && edition === version).length;
		await waitUntil(() => count() === 2, {deadlineMs, what: `configuration ${version} on both hosts`});
	}

	const ask = async (at: number): Promise<number> => {
		const {status} = await fixture.ask({path: '/check/1', at, headers: longHeaders});
		return status;
	};

	const askWithBody = async (at: number): Promise<number> => {
		const {status} = await fixture.ask({path: '/check/1', at, body: 'x'.repeat(200)});
		return status;
	};

	// Guards against 431 for headers that the configuration in force allows, also where a host passes the request on.
	it('allow long headers once they are raised, at the host that takes the request and at the one that it passes it on to', async () => {
		assert.equal(await ask(0), 431);
		await publish({...usual, header_bytes: 32_768});
		assert.deepEqual(await Promise.all([ask(0), ask(1)]), [200, 200]);
		await fixture.cutLinks(0);
		const countPassed = () => fixture.logs().filter(({message}) => message === 'passed on').length;
		const before = countPassed();
		await waitUntil(async () => await ask(0) === 200 && countPassed() > before, {deadlineMs, what: 'a request that is passed on'});
		await fixture.healLinks(0);
		await sleep(3000);
	});

	// Guards against limits that outlive the configuration which set them.
	it('are those of the host\'s settings again after a configuration without limits', async () => {
		await publish({...usual, header_bytes: 32_768, max_body_bytes: 100});
		assert.equal(await ask(1), 200);
		assert.equal(await askWithBody(1), 413);
		await publish(null);
		assert.equal(await ask(1), 431);
		assert.equal(await askWithBody(1), 200);
	});

	// Guards against long headers that are refused on a connection which was open before the limit was raised.
	it('allow long headers on kept connections within the time to apply a configuration', async () => {
		await publish(usual);
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		const port = fixture.callerPort(1);
		const send = async (headers: Record<string, string>) => new Promise<number | undefined>((resolve, reject) => {
			request({
				agent, port, host: '127.0.0.1', path: '/check/1', headers: {host: 'desk.example', 'request-id': `r-${Math.random()}`, ...headers},
			}, res => {
				res.resume().once('end', () => {
					resolve(res.statusCode);
				});
			}).once('error', reject).end();
		});
		assert.equal(await send({'deadline-ms': '3000'}), 200);
		await publish({...usual, header_bytes: 32_768});
		await sleep(100);
		assert.equal(await send(longHeaders), 200);
		agent.destroy();
	});
});
