/** Runs the agents of several hosts in one process, with stand-ins for the platform and the engines. */
import assert from 'node:assert/strict';
import {Writable} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import {createEngineHttp} from '../../../src/adapters/engine-http/index.js';
import {createLog} from '../../../src/adapters/log/index.js';
import {createPlatformHttp} from '../../../src/adapters/platform-http/index.js';
import {startAgent, type Agent, type AgentOptions} from '../../../src/programs/agent/_lib/start-agent.js';
import {startEngineStandIn} from '../../stand-ins/engine/index.js';

const deadlineMs = 20_000;

export const now = () => performance.now();

/**
 * Polls a condition until it holds.
 *
 * @param what - The condition in words, for the error message.
 * @param isTrue - The condition.
 * @throws If the condition does not hold within 20 s.
 */
export async function until(what: string, isTrue: () => boolean | Promise<boolean>): Promise<void> {
	const end = now() + deadlineMs;
	while (!await isTrue()) {
		assert.ok(now() < end, `timed out after ${deadlineMs} ms while waiting for: ${what}`);
		await sleep(10);
	}
}

export type ServerOption = {id: string; zone: string; url: string; role: 'prefill' | 'decode'};

/** Serializes a configuration document with the given number of hosts for each zone. */
export function toConfigText({zones, servers, rule = 'all'}: {
	zones: Readonly<Record<string, number>>;
	servers: readonly ServerOption[];
	rule?: string;
}): string {
	const hosts = Object.entries(zones).flatMap(([zone, count]) => Array.from({length: count}, (_, i) => `  - {id: ${zone}-${i + 1}, zone: ${zone}}`));
	return [
		'zones:',
		...Object.keys(zones).map(zone => `  - {id: ${zone}, region: si-central}`),
		'hosts:',
		...hosts,
		'pools: [{name: letters, model: summary, version: "1", classes: [quick, batch]}]',
		'servers:',
		...servers.map(({id, zone, url, role}) => `  - {id: ${id}, zone: ${zone}, url: '${url}', role: ${role}, pool: letters, slots: 20}`),
		'rules:',
		`  - {name: ${rule}, then: {pool: letters, class: batch, repeatable: false, target: {firstToken: 2s, perToken: 100ms, complete: 1m}}}`,
		'weightStoreBytesPerSecond: 300MB',
		'end: banyanport',
		'',
	].join('\n');
}

/** Starts a decode engine in zone a and a prefill engine in zone b. */
export async function startEngines() {
	const engine = await startEngineStandIn({id: 'decode-1', role: 'decode', model: 'summary'});
	const prefill = await startEngineStandIn({id: 'prefill-1', role: 'prefill', model: 'summary'});
	const servers: readonly ServerOption[] = [
		{
			id: 'decode-1', zone: 'a', url: engine.url, role: 'decode',
		},
		{
			id: 'prefill-1', zone: 'b', url: prefill.url, role: 'prefill',
		},
	];
	return {engine, prefill, servers};
}

/** Starts an agent with short intervals and a discarded log. */
export async function runAgent({hostId, zone, platformUrl, seeds = [], clock = now, smallFleet, ...overrides}: {
	hostId: string;
	zone: string;
	platformUrl: string;
	seeds?: readonly string[];
	/** Monotonic clock, milliseconds; a test can let the clock jump, as a pause of the process does. */
	clock?: () => number;
	smallFleet?: number;
} & Partial<AgentOptions['settings']>): Promise<Agent> {
	return startAgent({
		settings: {
			hostId, zone, bind: '127.0.0.1', peerPort: 0, seeds, platformWait: 1000, loadPollInterval: 50, heartbeatInterval: 200, suspectAfter: 600, deadAfter: 1600, ...overrides,
		},
		smallFleet,
		clock: {now: clock, wallNow: () => Date.now()},
		random: Math.random,
		platform: createPlatformHttp({url: platformUrl}),
		toEngine: server => createEngineHttp({server}),
		log: createLog({
			level: 'error', program: 'test', host: hostId, zone, incarnation: 1, sink: new Writable({
				write(_chunk, _encoding, done) {
					done();
				},
			}),
		}),
	});
}
