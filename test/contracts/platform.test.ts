/** Tests of the platform interface: the HTTP client against the stand-in and its faults. */
import assert from 'node:assert/strict';
import {after, describe, it} from 'node:test';
import {createPlatformHttp} from '../../src/adapters/platform-http/index.js';
import {type PlatformFailure} from '../../src/ports/platform.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {startLinkStandIn} from '../stand-ins/link/index.js';
import {startPlatformStandIn, type PlatformFaults, type PlatformStandInOptions} from '../stand-ins/platform/index.js';

const stops: Array<() => Promise<void>> = [];

after(async () => {
	for (const stop of stops) {
		await stop();
	}
});

const start = async (options: PlatformStandInOptions = {}) => {
	const platform = await startPlatformStandIn(options);
	const client = createPlatformHttp({url: platform.url, client: 'dvorana-a-1', answerTimeoutMs: 1000});
	stops.push(client.close, platform.stop);
	return {platform, client};
};

type FaultRow = {name: string; faults?: PlatformFaults; config: string; kind: PlatformFailure['kind']; readsPerSecond?: number};

const faultRows: FaultRow[] = [
	{
		name: 'is down', faults: {down: true}, config: 'a', kind: 'unreachable',
	},
	{
		name: 'does not answer in time', faults: {slowMs: 4000}, config: 'a', kind: 'unreachable',
	},
	{
		name: 'answers with malformed JSON', faults: {garbage: true}, config: 'a', kind: 'invalid',
	},
	{name: 'serves more than 1 MiB', config: 'ž'.repeat(600_000), kind: 'too-large'},
	{name: 'serves far more than 1 MiB', config: 'x'.repeat(8_000_000), kind: 'too-large'},
	{
		name: 'has no budget left', config: 'a', kind: 'overloaded', readsPerSecond: 0,
	},
];

const forever = new AbortController().signal;

describe('createPlatformHttp', () => {
	for (const row of faultRows) {
		it(`reports ${row.kind} for a platform that ${row.name}`, async () => {
			const {platform, client} = await start({config: row.config, ...(row.readsPerSecond !== undefined && {readsPerSecond: row.readsPerSecond})});
			platform.setFaults(row.faults ?? {});
			const result = await client.read('config');
			assert.equal(result._unsafeUnwrapErr().kind, row.kind);
		});
	}

	it('reads a value of exactly 1 MiB, and undefined if no value was published', async () => {
		const {client} = await start({config: '\u0001'.repeat(1024 * 1024)});
		const config = await client.read('config');
		const fleet = await client.read('fleet');
		assert.equal(config._unsafeUnwrap()?.value.length, 1024 * 1024);
		assert.equal(fleet._unsafeUnwrap(), undefined);
	});

	it('returns a change during a watch, and undefined when the wait ends without one', async () => {
		const {platform, client} = await start({config: 'first'});
		const quiet = await client.watch('config', 1, 50, forever);
		assert.equal(quiet._unsafeUnwrap(), undefined);
		const watching = client.watch('config', 1, 20_000, forever);
		await waitUntil(() => platform.judge().reads === 2, {deadlineMs: 5000, what: 'the watch to reach the platform'});
		platform.publish('config', 'second');
		const change = await watching;
		assert.deepEqual(change._unsafeUnwrap(), {revision: 2, value: 'second'});
	});

	it('reports unreachable when the platform goes down during a watch', async () => {
		const {platform, client} = await start({config: 'first'});
		const watching = client.watch('config', 1, 20_000, forever);
		await waitUntil(() => platform.judge().reads === 1, {deadlineMs: 5000, what: 'the watch to reach the platform'});
		platform.setFaults({down: true});
		const result = await watching;
		assert.equal(result._unsafeUnwrapErr().kind, 'unreachable');
	});

	it('ends a watch that its caller aborts', async () => {
		const {platform, client} = await start({config: 'first'});
		const controller = new AbortController();
		const watching = client.watch('config', 1, 20_000, controller.signal);
		await waitUntil(() => platform.judge().reads === 1, {deadlineMs: 5000, what: 'the watch to reach the platform'});
		controller.abort();
		const result = await watching;
		assert.equal(result._unsafeUnwrapErr().kind, 'unreachable');
	});

	it('sends its client name with each read', async () => {
		const {platform, client} = await start({config: 'a'});
		await client.read('config');
		await client.read('fleet');
		assert.deepEqual(platform.judge().readsByClient, {'dvorana-a-1': 2});
	});

	it('reaches the platform again after a cut is healed', async () => {
		const {platform} = await start({config: 'a'});
		const link = await startLinkStandIn({target: platform.url});
		const client = createPlatformHttp({url: link.url, answerTimeoutMs: 300});
		stops.push(client.close, link.stop);
		const before = await client.read('config');
		assert.ok(before.isOk());
		link.cut();
		const during = await client.read('config');
		assert.ok(during.isErr());
		link.heal();
		await waitUntil(async () => {
			const result = await client.read('config');
			return result.isOk();
		}, {deadlineMs: 10_000, what: 'a read to succeed after the cut is healed'});
	});
});

describe('the platform stand-in', () => {
	it('serves stale, truncated or old documents when its faults say so', async () => {
		const {platform, client} = await start({config: 'first document'});
		const served = async () => {
			const result = await client.read('config');
			return result._unsafeUnwrap();
		};

		platform.setFaults({frozen: true});
		platform.publish('config', 'second document');
		assert.deepEqual(await served(), {revision: 1, value: 'first document'});
		platform.setFaults({});
		assert.deepEqual(await served(), {revision: 2, value: 'second document'});
		platform.setFaults({oldRevision: 1});
		assert.deepEqual(await served(), {revision: 1, value: 'first document'});
		platform.setFaults({oldDocument: 1});
		assert.deepEqual(await served(), {revision: 2, value: 'first document'});
		platform.setFaults({truncateAt: 0.5});
		assert.deepEqual(await served(), {revision: 2, value: 'second '});
	});
});
