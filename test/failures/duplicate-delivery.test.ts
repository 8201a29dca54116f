/*
 * Guards against work that runs twice under one idempotency key. A caller sends a
 * letter, loses the connection or gives up, and repeats the request at the same
 * host, at another one, at two hosts at once, and during and after a network
 * partition. A second run would send the client a second letter, and bill a scene
 * twice. The second call has to join the first run and take over its answer.
 */
import assert from 'node:assert/strict';
import {
	after, before, beforeEach, describe, it,
} from 'node:test';
import {v7 as createKey} from 'uuid';
import {startFleet, type Fleet} from '../_lib/start-fleet/index.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {
	startCall, type CallOptions, type CallResult, type StartedCall,
} from './_lib/start-call.js';

const deadlineMs = 20_000;

/** Counts the runs that the engines began, under any request ID. */
function countRuns(fleet: Fleet): number {
	return [...fleet.engines.values()]
		.flatMap(engine => Object.values(engine.judge().requests))
		.reduce((sum, request) => sum + request.decodesStarted, 0);
}

function countWhole(results: readonly CallResult[]): number {
	return results.filter(result => result.isWhole).length;
}

function toLetter(): CallOptions {
	const key = createKey();
	return {prompt: `Letter ${key}`, maxTokens: 100, key};
}

describe('the same key twice', () => {
	let fleet: Fleet;

	before(async () => {
		fleet = await startFleet({
			zones: ['dvorana-a', 'dvorana-b', 'dvorana-c'],
			isCuttable: true,
			entryFlags: {clockBound: '0ms'},
			decodeEngine: {decodeTokensPerSecond: 100},
		});
	});
	beforeEach(() => {
		for (const engine of fleet.engines.values()) {
			engine.resetJudge();
		}
	});
	after(async () => {
		await fleet.stop();
	});

	async function callTwice(firstHost: number, secondHost: number, betweenCalls: (call: StartedCall) => Promise<void>, second: Partial<CallOptions> = {}): Promise<[CallResult, CallResult]> {
		const letter = toLetter();
		const first = startCall(fleet.hosts[firstHost]!.callerUrl, letter);
		await betweenCalls(first);
		const again = startCall(fleet.hosts[secondHost]!.callerUrl, {...letter, ...second});
		return Promise.all([first.done, again.done]);
	}

	async function waitForTokens(call: StartedCall): Promise<void> {
		await waitUntil(() => call.received().length > 0, {deadlineMs, what: 'the first token'});
	}

	const places = [{name: 'the same host', second: 0}, {name: 'another host', second: 1}] as const;
	for (const {name, second} of places) {
		it(`runs once when both are sent at once to ${name}`, async () => {
			const results = await callTwice(0, second, async () => undefined);
			assert.equal(countWhole(results), 1, JSON.stringify(results));
			assert.equal(countRuns(fleet), 1);
		});

		it(`runs once when ${name} gets the key again during the answer`, async () => {
			const results = await callTwice(0, second, waitForTokens);
			assert.equal(results[1].isWhole, true, JSON.stringify(results));
			assert.equal(results[0].isWhole, false);
			assert.equal(countRuns(fleet), 1);
		});

		it(`runs once when ${name} gets the key again after the first connection broke`, async () => {
			const results = await callTwice(0, second, async call => {
				await waitForTokens(call);
				call.leave();
			});
			assert.equal(results[1].isWhole, true, JSON.stringify(results));
			assert.equal(countRuns(fleet), 1);
		});

		it(`sends the retained answer when ${name} gets the key again after the end`, async () => {
			const results = await callTwice(0, second, async call => {
				await call.done;
			});
			assert.equal(countWhole(results), 2, JSON.stringify(results));
			assert.equal(results[0].text, results[1].text);
			assert.equal(countRuns(fleet), 1);
		});

		it(`refuses the key with another body at ${name}`, async () => {
			const [, refused] = await callTwice(0, second, waitForTokens, {prompt: 'Another letter under the same key'});
			assert.equal(refused.status, 422, JSON.stringify(refused));
			assert.match(refused.problem ?? '', /key-reused/v);
			assert.equal(countRuns(fleet), 1);
		});
	}

	it('runs once when the second host is cut off from the first, and sends the retained answer once the partition heals', async () => {
		const scene = {...toLetter(), isScene: true};
		const first = startCall(fleet.hosts[0]!.callerUrl, scene);
		await waitForTokens(first);
		fleet.network.isolate('dvorana-b');
		const refused = await startCall(fleet.hosts[1]!.callerUrl, scene).done;
		assert.equal(refused.isWhole, false);
		assert.equal(refused.outcome, 'may-have-run', JSON.stringify(refused));
		const whole = await first.done;
		assert.equal(whole.isWhole, true, JSON.stringify(whole));
		fleet.network.heal();
		const healed = await waitUntil(async () => {
			const result = await startCall(fleet.hosts[1]!.callerUrl, scene).done;
			return result.isWhole && result;
		}, {deadlineMs, what: 'the retained answer after the partition healed', everyMs: 200});
		assert.equal(healed.text, whole.text);
		assert.equal(countRuns(fleet), 1);
	});
});
