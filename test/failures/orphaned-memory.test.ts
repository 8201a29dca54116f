/*
 * Guards against memory that engines keep for requests whose caller or entry is
 * gone. While a letter is in prefill, in transfer or in decode, the caller
 * disconnects, the entry is killed, alone or with its host, or the caller
 * disconnects while the entry is paused. The entry cancels requests that nobody
 * waits for; when it can't, an agent releases their memory instead.
 */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {startFleet, type Fleet, type FleetHost} from '../_lib/start-fleet/index.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {
	startCall, type CallOptions, type CallResult, type StartedCall,
} from './_lib/start-call.js';

const releaseDeadlineMs = 30_000;
const stageDeadlineMs = 15_000;
const pauseMs = 3000;

type Stage = {
	name: string;
	call: CallOptions;
	isReached: (fleet: Fleet) => boolean;
	stallsTransfer?: boolean;
};

const longPrompt = 'All of your post of this year, in one scan. '.repeat(800);

const stages: readonly Stage[] = [
	{
		name: 'in prefill',
		call: {prompt: longPrompt},
		isReached: fleet => fleet.holds().some(hold => hold.kind === 'prefill'),
	},
	{
		name: 'in transfer',
		call: {prompt: 'One letter.'},
		isReached: fleet => fleet.holds().some(hold => hold.kind === 'kv') && fleet.holds().some(hold => hold.kind === 'reservation'),
		stallsTransfer: true,
	},
	{
		name: 'in decode',
		call: {prompt: 'A letter with a long summary.', maxTokens: 4000},
		isReached: fleet => fleet.holds().some(hold => hold.kind === 'stream'),
	},
];

type Loss = {
	name: string;
	lose: (fleet: Fleet, host: FleetHost, call: StartedCall) => Promise<void>;
	restore: (host: FleetHost) => Promise<void>;
};

const doNothing = async () => undefined;

const losses: readonly Loss[] = [
	{
		name: 'the caller leaves',
		async lose(_fleet, _host, call) {
			call.leave();
		},
		restore: doNothing,
	},
	{
		name: 'the caller leaves and two cancels are lost',
		async lose(fleet, _host, call) {
			for (const engine of fleet.engines.values()) {
				engine.faults.loseCancels = {times: 2};
			}

			call.leave();
		},
		restore: doNothing,
	},
	{
		name: 'the entry is killed',
		async lose(_fleet, host) {
			await host.entry().kill();
		},
		async restore(host) {
			await host.startEntry();
		},
	},
	{
		name: 'the host is killed',
		async lose(_fleet, host) {
			await host.kill();
		},
		async restore(host) {
			await host.start();
		},
	},
	{
		name: 'the caller leaves while the entry is paused',
		async lose(_fleet, host, call) {
			host.entry().pause();
			call.leave();
			await new Promise(resolve => {
				setTimeout(resolve, pauseMs);
			});
			host.entry().resume();
		},
		restore: doNothing,
	},
];

async function waitUntilReached(fleet: Fleet, stage: Stage, call: StartedCall): Promise<void> {
	let ended: CallResult | undefined;
	void (async () => {
		ended = await call.done;
	})();

	await waitUntil(() => {
		assert.equal(ended, undefined, `the call ended before the letter was ${stage.name}`);
		return stage.isReached(fleet);
	}, {deadlineMs: stageDeadlineMs, what: `a letter ${stage.name}`});
}

async function waitUntilReleased(fleet: Fleet): Promise<void> {
	try {
		await waitUntil(() => fleet.holds().length === 0, {deadlineMs: releaseDeadlineMs, what: 'the engines to release all memory'});
	} catch (error) {
		assert.fail(`${String(error)}; engines still hold ${JSON.stringify(fleet.holds())}`);
	}
}

describe('engine memory of requests whose caller or entry is gone', () => {
	let fleet: Fleet;

	before(async () => {
		fleet = await startFleet({
			zones: ['dvorana-a'],
			hostsPerZone: 3,
			prefillEngine: {prefillTokensPerSecond: 2000},
			decodeEngine: {decodeTokensPerSecond: 50},
		});
	});
	after(async () => {
		await fleet.stop();
	});

	for (const stage of stages) {
		for (const loss of losses) {
			it(`is released when ${loss.name} ${stage.name}`, async t => {
				const host = fleet.hosts[0]!;
				for (const engine of fleet.engines.values()) {
					engine.setFaults(stage.stallsTransfer ? {transfer: {kind: 'stall'}} : {});
				}

				// Each prompt begins differently; otherwise a hit in the prefix cache would make the prefill too short to observe.
				const call = startCall(host.callerUrl, {...stage.call, prompt: `${loss.name}: ${stage.call.prompt}`});
				await waitUntilReached(fleet, stage, call);
				const lostAt = performance.now();
				await loss.lose(fleet, host, call);
				await waitUntilReleased(fleet);
				t.diagnostic(`released after ${Math.round(performance.now() - lostAt)} ms`);
				call.leave();
				await call.done;
				await loss.restore(host);
				await fleet.waitUntilReady([host]);
			});
		}
	}
});
