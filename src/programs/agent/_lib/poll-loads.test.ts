import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {errAsync, okAsync} from 'neverthrow';
import {type ServerEntry} from '../../../ports/config.js';
import {type Engine, type LoadReport} from '../../../ports/engine.js';
import {waitUntil} from '../../../../test/_lib/wait-until/index.js';
import {pollLoads} from './poll-loads.js';

const server = {id: 'd1', url: 'http://127.0.0.1:9'} as unknown as ServerEntry;
const deadlineMs = 10_000;

/** Polls a server that fails the polls selected by `isFailing` (numbered from 0), until `count` results were reported. */
async function poll(isFailing: (call: number) => boolean, count: number): Promise<string[]> {
	const stop = new AbortController();
	const reports: string[] = [];
	let calls = 0;
	let clock = 0;
	const load = () => isFailing(calls++)
		? errAsync({
			kind: 'broken', reason: undefined, server: 'd1', message: 'reset', retryAfterMs: undefined,
		})
		: okAsync({server: 'd1'} as unknown as LoadReport);
	const polling = pollLoads({
		servers: () => [server],
		toEngine: () => ({load}) as unknown as Engine,
		intervalMs: 20,
		onLoad(_report, askedAt) {
			reports.push(`load asked at ${askedAt}`);
		},
		onUnreachable(id, askedAt) {
			reports.push(`${id} lost since ${askedAt}`);
		},
		onEnd: () => undefined,
		now: () => ++clock,
		random: () => 0.5,
		signal: stop.signal,
	});
	await waitUntil(() => reports.length >= count, {deadlineMs, what: 'polls'});
	stop.abort();
	await polling;
	return reports.slice(0, count);
}

describe('pollLoads', () => {
	it('repeats a failed poll at once, and then reports the second answer', async () => {
		assert.deepEqual(await poll(call => call === 0, 2), ['load asked at 2', 'load asked at 3']);
	});

	it('reports a server that failed two polls, with the time of the first', async () => {
		assert.deepEqual(await poll(call => call < 2, 2), ['d1 lost since 1', 'load asked at 3']);
	});
});
