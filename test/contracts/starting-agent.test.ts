/*
 * Guards against a restarted host that shows an older configuration than its last
 * process did. The agent starts without state, and its first answers come from a
 * peer whose zone was cut off, or from a platform that serves an older copy, while
 * another peer in reach holds a newer document.
 */
import assert from 'node:assert/strict';
import {after, describe, it} from 'node:test';
import {type Agent} from '../../src/programs/agent/_lib/start-agent.js';
import {startPlatformStandIn, type PlatformFaults} from '../stand-ins/platform/index.js';
import {
	runAgent, startEngines, toConfigText, until,
} from './_lib/run-agents.js';
import {startFakePeer, type FakePeerOptions} from './_lib/start-fake-peer.js';

const closers: Array<() => Promise<void>> = [];

after(async () => {
	for (const close of closers.reverse()) {
		await close();
	}
});

const zones = {a: 1, b: 1, c: 1};
const {engine, prefill, servers} = await startEngines();
closers.push(engine.stop, prefill.stop);
const older = toConfigText({zones, rule: 'older', servers});
const newer = toConfigText({zones, rule: 'newer', servers});

const toRule = (agent: Agent): string | undefined => agent.view().accepted?.config.rules[0]?.name;

/** Starts an agent of host a-1 whose seeds are the peers; the platform serves the older document, or fails. */
async function startAgainst(peers: readonly FakePeerOptions[], platformFaults: PlatformFaults, extraSeeds: readonly string[] = []) {
	const platform = await startPlatformStandIn({config: older, fleet: {hosts: [], servers: []}});
	platform.setFaults(platformFaults);
	const started = await Promise.all(peers.map(async peer => startFakePeer(peer)));
	const agent = await runAgent({
		hostId: 'a-1', zone: 'a', platformUrl: platform.url, seeds: [...started.map(({address}) => address), ...extraSeeds],
	});
	closers.push(platform.stop, ...started.map(({close}) => close), agent.stop);
	return {agent, platform};
}

/** Polls the rule in force until it is the expected one, and returns all rules seen. */
async function watchRules(agent: Agent, expected: string): Promise<string[]> {
	const seen = new Set<string>();
	await until(`the agent has the ${expected} document`, () => {
		const rule = toRule(agent);
		if (rule !== undefined) {
			seen.add(rule);
		}

		return rule === expected;
	});
	return [...seen];
}

const olderPeer = {host: 'b-1', text: older, revision: 1};
const newerPeer = {host: 'c-1', text: newer, revision: 2};

describe('a starting agent', () => {
	const cases: ReadonlyArray<{name: string; peers: readonly FakePeerOptions[]; faults: PlatformFaults}> = [
		{
			name: 'a peer that was cut off answers first', peers: [olderPeer, {...newerPeer, answerAfterMs: 500}], faults: {down: true},
		},
		{
			name: 'a peer that was cut off answers first, and the platform serves an older document',
			peers: [olderPeer, {...newerPeer, answerAfterMs: 500}],
			faults: {},
		},
		{
			name: 'the platform serves an older document than a peer that does not vouch for its own', peers: [{...newerPeer, isVouched: false}], faults: {},
		},
		{
			name: 'peers of an older build answer in order of age',
			peers: [{...newerPeer, answersVersions: false}, {...olderPeer, answersVersions: false, answerAfterMs: 500}],
			faults: {},
		},
	];
	for (const {name, peers, faults} of cases) {
		it(`shows the newest document in reach only, although ${name}`, async () => {
			const {agent} = await startAgainst(peers, faults);
			assert.deepEqual(await watchRules(agent, 'newer'), ['newer']);
		});
	}

	it('takes the older document of a cut-off peer when no other seed answers', async () => {
		const {agent} = await startAgainst([olderPeer], {down: true}, ['127.0.0.1:1']);
		assert.deepEqual(await watchRules(agent, 'older'), ['older']);
	});

	it('takes the document of the platform when a peer that reports a newer one can\'t serve it', async () => {
		const {agent} = await startAgainst([{...newerPeer, isVouched: false, servesDocument: false}], {});
		assert.deepEqual(await watchRules(agent, 'older'), ['older']);
	});
});
