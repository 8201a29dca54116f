/*
 * A caller that sends its key again to another host gets the kept answer relayed
 * in separate calls for head, bytes and end. The host that keeps the answer may be
 * lost after any of them. The caller must then get a complete answer or a problem.
 */
import assert from 'node:assert/strict';
import {describe, it, type TestContext} from 'node:test';
import {startCallerServer} from '../../../adapters/caller-http/index.js';
import {type RunPart, type RunWriter} from '../../../domain/create-run-table/index.js';
import {type Claimed, type Claims} from './types.js';
import {serveKeyed, type ServeKeyedOptions} from './serve-keyed.js';

const deadlineMs = 20_000;
const answer = '{"text":"Zdravo"}';

const createOptions = (serve: ServeKeyedOptions['serve']): ServeKeyedOptions => ({writeTimeoutMs: deadlineMs, now: () => performance.now(), serve});

const refuse = async () => assert.fail('another handler was asked');

const noServe: ServeKeyedOptions['serve'] = async () => assert.fail('the work was run');

/** Sends a request to a caller server whose handler gets the given claim. */
async function fetchAnswer(context: TestContext, toClaimed: () => Claimed, options: ServeKeyedOptions): Promise<{status: number; body: string}> {
	const claims = {claim: async () => toClaimed()} as unknown as Claims;
	const server = await startCallerServer({
		now: () => performance.now(),
		toMaxWaitMs: () => 1000,
		bind: '127.0.0.1', port: 0, maxConnections: 10, maxHeaderBytes: 16_384, headersTimeoutMs: deadlineMs, keepAliveTimeoutMs: deadlineMs, writeTimeoutMs: deadlineMs,
	}, {
		completion: refuse,
		chat: refuse,
		models: refuse,
		plain: async exchange => serveKeyed(claims, exchange, {
			workspace: 'w', key: 'k', digest: 'd', isRepeatable: false,
		}, options),
		onFault(error) {
			throw error;
		},
	});
	context.after(async () => {
		server.destroy();
		await server.close();
	});
	const response = await fetch(`http://127.0.0.1:${server.port}/any`, {signal: AbortSignal.timeout(deadlineMs)});
	return {status: response.status, body: await response.text()};
}

/** Returns the parts that a host records of an answer sent in one piece, as other hosts read them. */
async function recordAnswer(context: TestContext): Promise<readonly RunPart[]> {
	const parts: RunPart[] = [];
	const writer: RunWriter = {
		writeHead(status, headers) {
			parts.push({kind: 'head', status, headers});
		},
		write(bytes) {
			parts.push({kind: 'bytes', bytes});
			return true;
		},
		drained: async () => undefined,
		end: () => undefined,
		hasReader: () => true,
	};
	const reader = {next: async (): Promise<RunPart> => ({kind: 'taken-over'}), close: () => undefined};
	await fetchAnswer(context, () => ({kind: 'run', writer, reader}), createOptions(async recorded => {
		recorded.sendAnswer(200, {'content-type': 'application/json'}, answer);
		return 'complete';
	}));
	return parts;
}

describe('serveKeyed', () => {
	const losses: ReadonlyArray<[string, number, RunPart, number, RegExp]> = [
		['whole when its host is lost after the last byte', 2, {kind: 'end', end: 'broken'}, 200, /^\{"text":"Zdravo"\}$/v],
		['whole when another connection takes over after the last byte', 2, {kind: 'taken-over'}, 200, /^\{"text":"Zdravo"\}$/v],
		['as a problem when its host is lost after the head', 1, {kind: 'end', end: 'broken'}, 502, /answer-lost.*may-have-run/v],
		['as a problem when another connection takes over after the head', 1, {kind: 'taken-over'}, 409, /key-used.*may-have-run/v],
	];
	for (const [name, count, last, status, body] of losses) {
		it(`gives a kept answer in one piece ${name}`, async context => {
			const recorded = await recordAnswer(context);
			const parts = [...recorded.slice(0, count), last];
			const reader = {next: async () => (parts.length > 1 ? parts.shift()! : parts[0]!), close: () => undefined};
			const got = await fetchAnswer(context, () => ({kind: 'join', host: 'other', reader}), createOptions(noServe));
			assert.equal(got.status, status);
			assert.match(got.body, body);
		});
	}
});
