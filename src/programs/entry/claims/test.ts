import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type RunReader} from '../../../domain/create-run-table/index.js';
import {startFleet, toRequest, type Host} from './_test/start-fleet.js';
import {type KeyedRequest, createClaims} from './index.js';

const text = new TextDecoder();
const encode = (piece: string) => new TextEncoder().encode(piece);

async function readAll(reader: RunReader): Promise<string> {
	let whole = '';
	for (;;) {
		const part = await reader.next();
		if (part.kind === 'bytes') {
			whole += text.decode(part.bytes);
		} else if (part.kind !== 'head') {
			return `${whole}|${part.kind === 'end' ? part.end : part.kind}`;
		}
	}
}

async function runAt({claims}: Host, request: KeyedRequest) {
	const claimed = await claims.claim(request);
	assert.ok(claimed.kind === 'run', `expected to run, got ${JSON.stringify(claimed)}`);
	return claimed;
}

async function refusedAt({claims}: Host, request: KeyedRequest) {
	const claimed = await claims.claim(request);
	assert.ok(claimed.kind === 'refused', `expected a refusal, got ${claimed.kind}`);
	return claimed.problem;
}

async function joinedAt({claims}: Host, request: KeyedRequest): Promise<string> {
	const claimed = await claims.claim(request);
	assert.ok(claimed.kind === 'join', `expected to join, got ${JSON.stringify(claimed)}`);
	return readAll(claimed.reader);
}

describe('createClaims', {timeout: 60_000}, () => {
	it('runs a key sent to every host at once on one of them, and gives all the same answer in turn', async context => {
		const hosts = await startFleet(context);
		const request = toRequest();
		const claimed = await Promise.all(hosts.map(async ({claims}) => claims.claim(request)));
		const runs = claimed.filter(one => one.kind === 'run');
		assert.equal(runs.length, 1);
		assert.equal(claimed.filter(one => one.kind === 'join').length, hosts.length - 1);
		const answers = claimed.map(async one => one.kind === 'refused' ? 'refused' : readAll(one.reader));
		runs[0]!.writer.writeHead(200, {});
		runs[0]!.writer.write(encode('scene'));
		runs[0]!.writer.end('complete', performance.now());
		const ends = await Promise.all(answers);
		assert.equal(ends.filter(end => end === 'scene|complete').length, 1);
		assert.equal(ends.filter(end => end.endsWith('|taken-over')).length, hosts.length - 1);
		assert.equal(await joinedAt(hosts[5]!, request), 'scene|complete');
	});

	it('gives a retry on another host the run from its first byte, and refuses another body', async context => {
		const hosts = await startFleet(context);
		const request = toRequest();
		const {writer, reader} = await runAt(hosts[0]!, request);
		writer.write(encode('first '));
		const retried = joinedAt(hosts[1]!, request);
		assert.match(await readAll(reader), /taken-over$/v);
		writer.write(encode('second'));
		writer.end('complete', performance.now());
		assert.equal(await retried, 'first second|complete');
		const misused = await refusedAt(hosts[2]!, {...request, digest: 'other'});
		assert.deepEqual([misused.kind, misused.outcome], ['key-reused', 'not-run']);
	});

	it('lets a key that did not run be claimed by another host', async context => {
		const hosts = await startFleet(context);
		const request = toRequest();
		const first = await runAt(hosts[0]!, request);
		first.writer.end('retryable', performance.now());
		await runAt(hosts[1]!, request);
	});

	it('does not run work again whose host was killed, unless it is repeatable', async context => {
		const hosts = await startFleet(context);
		const once = toRequest();
		const repeatable = toRequest({isRepeatable: true});
		await runAt(hosts[0]!, once);
		await runAt(hosts[0]!, repeatable);
		await hosts[0]!.kill();
		const problem = await refusedAt(hosts[1]!, once);
		assert.deepEqual([problem.kind, problem.outcome], ['claim-unavailable', 'may-have-run']);
		await runAt(hosts[1]!, repeatable);
		await hosts[0]!.replace(0);
		for (const host of [hosts[0]!, hosts[3]!]) {
			const afterwards = await refusedAt(host, once);
			assert.equal(afterwards.outcome, 'may-have-run');
		}
	});

	it('claims with a zone and one host away and refuses with one host more', async context => {
		const hosts = await startFleet(context);
		await hosts[0]!.kill();
		await hosts[4]!.kill();
		await hosts[3]!.kill();
		await runAt(hosts[1]!, toRequest());
		await hosts[2]!.kill();
		const problem = await refusedAt(hosts[1]!, toRequest());
		assert.deepEqual([problem.kind, problem.outcome], ['claim-unavailable', 'may-have-run']);
		await runAt(hosts[1]!, toRequest({isRepeatable: true}));
	});

	it('loses no claim when hosts are restarted gracefully, and refuses a claim when they are not', async context => {
		const hosts = await startFleet(context);
		const request = toRequest();
		const {writer} = await runAt(hosts[7]!, request);
		writer.end('complete', performance.now());
		for (const host of hosts.slice(0, 4)) {
			assert.equal(await host.claims.leave(), true);
			await host.kill();
			await host.replace(0);
			assert.equal(await host.claims.takeOver(), true);
			assert.equal(await host.claims.takeOver(), false);
		}

		assert.equal(await joinedAt(hosts[0]!, request), '|complete');
		await runAt(hosts[5]!, toRequest());
		for (const host of hosts.slice(0, 4)) {
			await host.kill();
			await host.replace(0);
		}

		const problem = await refusedAt(hosts[5]!, toRequest());
		assert.match(problem.detail, /new key/v);
	});
});
