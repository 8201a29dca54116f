/*
 * Guards against an entry that refuses requests although all engines serve. Its
 * agent has just died or restarted, or wrongly considers servers unreachable: a
 * poll was lost under load, or hung in a network partition that has healed. The
 * entry's last view still lists the servers, so the entry goes on using it, and
 * where a server's state is doubtful, the engine decides when it is asked for a
 * reservation.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type PeerConnection} from '../../src/adapters/peer-tcp/index.js';
import {createViewPublisher} from '../../src/adapters/view-feed/index.js';
import {applyUpdate, emptyView, type EntryView} from '../../src/adapters/view-feed/_lib/apply-update.js';
import {type FeedUpdate} from '../../src/adapters/view-feed/_lib/messages.js';
import {createAdmission} from '../../src/domain/create-admission/index.js';
import {createFleetTable} from '../../src/domain/create-fleet-table/index.js';
import {createLeavingOverrides} from '../../src/domain/create-leaving-overrides/index.js';
import {createLoadBroadcast} from '../../src/domain/create-load-broadcast/index.js';
import {createPlacement} from '../../src/domain/create-placement/index.js';
import {
	toConfig, toPlacementRequest, toReport, toSeededRandom, toServer,
} from '../../src/domain/create-placement/_lib/fixtures.js';
import {type AcceptedConfig} from '../../src/ports/config.js';
import {type HostStatus} from '../../src/ports/view.js';
import {peerEvents} from '../../src/programs/agent/_lib/peer-messages.js';
import {spreadLoads} from '../../src/programs/agent/_lib/spread-loads.js';
import {createGate} from '../../src/programs/entry/gate/index.js';
import {createManualClock} from '../_lib/create-manual-clock/index.js';

const tickMs = 200;
const servers = ['a', 'b'].flatMap(zone => [toServer(`${zone}-prefill`, 'prefill', {zone}), toServer(`${zone}-decode`, 'decode', {zone})]);
const accepted: AcceptedConfig = {version: {edition: 1, revision: 1, digest: 'd'}, text: '', config: toConfig(servers)};
const hosts = new Map(['a-1', 'a-2', 'b-1'].map((id): [string, HostStatus] => [id, {
	id, zone: id[0]!, life: 'alive', incarnation: 1, entryAddress: `${id}:1`, agentAddress: `${id}:2`, leaving: false,
}]));

/** Creates host a-1: an agent that can be restarted, and an entry that decides by the view that the agent feeds it. */
function createHost() {
	const clock = createManualClock({monotonic: 100_000});
	const random = toSeededRandom(1);
	const gate = createGate({admission: createAdmission(), zone: 'a', now: clock.now});
	const placement = createPlacement({zone: 'a'});
	let view: EntryView = emptyView;
	let asked = 0;

	const connection = {
		closed: new Promise<never>(() => {
			// The connection stays open.
		}),
		send(_name: string, update: unknown) {
			view = applyUpdate(view, update as FeedUpdate, {parse: () => assert.fail('the entry has the document'), isNewer: () => false});
			gate.setView(view);
			return true;
		},
	} as unknown as PeerConnection;

	function startAgent(known: ReadonlyMap<string, HostStatus>) {
		const table = createFleetTable();
		const publisher = createViewPublisher();
		table.setConfig(accepted);
		table.setHosts(known);
		publisher.add(connection);
		const loads = spreadLoads({
			table,
			leavingOverrides: createLeavingOverrides(),
			self: () => ({id: 'a-1', zone: 'a'}),
			hosts: () => hosts,
			send: () => undefined,
			call: async () => ({isOk: () => false, unwrapOr: value => value}),
			spreadTargets: () => [],
			now: clock.now,
			toArrival: clock.now,
		});
		return {table, publisher, loads};
	}

	let agent: ReturnType<typeof startAgent> | undefined = startAgent(hosts);
	view = {...emptyView, accepted};

	const host = {
		/** Advances the clock; the agent, if one is running, publishes its view to the entry. */
		pass(ms: number) {
			for (const end = clock.now() + ms; clock.now() < end;) {
				clock.advance(tickMs);
				agent?.publisher.notePing(connection, {
					at: clock.now(), entryAddress: '', incarnation: 1, configVersion: undefined,
				}, clock.now());
				agent?.publisher.publish(agent.table.view(clock.now()), 0, clock.now());
			}
		},
		/** Gives the agent a load report of every server. */
		report() {
			for (const server of servers) {
				agent?.table.noteLoad(toReport(server), clock.now());
			}
		},
		/** Makes the agent's own polls of servers fail. */
		lose(ids: readonly string[]) {
			for (const id of ids) {
				agent?.table.noteUnreachable(id, clock.now());
			}
		},
		/** Delivers a message in which another host says that its polls of servers failed. */
		hearLost(from: string, ids: readonly string[]) {
			const sender = createLoadBroadcast();
			for (const id of ids) {
				sender.noteUnreachable(id, clock.now());
			}

			agent?.loads.handleEvent(from, peerEvents.loads, sender.takeDue(1, clock.now()));
		},
		killAgent() {
			agent = undefined;
		},
		/** Starts a new agent, which knows the configuration from its entry, and no host but its own. */
		restartAgent() {
			agent = startAgent(new Map([...hosts].filter(([id]) => id === 'a-1')));
		},
		view: () => view,
		/** Sends one request; returns `served`, or the reason of the refusal. */
		async ask(): Promise<string> {
			const now = clock.now();
			const id = `r${asked++}`;
			const entered = await gate.enter({
				id, pool: 'main', class: 'quick', workspace: 'w', promptTokens: 40, maxTokens: 20, firstTokenDeadline: now + 2000, deadline: now + 5000, queueLimit: 100,
			}, new AbortController().signal);
			if (entered.isErr()) {
				return entered.error.reason;
			}

			const placed = placement.pick(toPlacementRequest(), view, now, random);
			gate.leave(id, 'completed');
			return placed.isOk() ? 'served' : placed.error.reason;
		},
	};
	host.report();
	host.pass(1000);
	return host;
}

type Host = ReturnType<typeof createHost>;

const all = servers.map(({id}) => id);
const ofZone = (zone: string) => servers.filter(server => server.zone === zone).map(({id}) => id);

const cases: ReadonlyArray<[string, (host: Host) => void, number]> = [
	['all agents restart', host => {
		host.restartAgent();
	}, 10_000],
	['a partition between zones has healed and all agents restart, while late reports of failed polls from both sides still count', host => {
		host.lose(ofZone('b'));
		host.hearLost('b-1', ofZone('a'));
		host.pass(200);
		host.restartAgent();
	}, 10_000],
	['one poll of each server was lost', host => {
		host.lose(all);
	}, 10_000],
	['the agent is dead for a minute', host => {
		host.killAgent();
	}, 60_000],
	['the agent is dead for a minute, and its last polls failed', host => {
		host.lose(all);
		host.pass(200);
		host.killAgent();
	}, 60_000],
	['the agent restarts while the platform is down, and can reach no peer and no server', host => {
		host.restartAgent();
		host.pass(200);
		host.lose(all);
	}, 60_000],
	['the load reports of all servers go stale at once', () => undefined, 60_000],
];

describe('an entry whose last view lists servers', () => {
	for (const [name, fault, lastsMs] of cases) {
		it(`keeps serving when ${name}`, async () => {
			const host = createHost();
			fault(host);
			for (let passedMs = 0; passedMs < lastsMs; passedMs += tickMs) {
				assert.equal(await host.ask(), 'served', `${passedMs} ms after the fault`);
				host.pass(tickMs);
			}
		});
	}

	it('keeps the hosts that it knew until its restarted agent hears of them again', () => {
		const host = createHost();
		host.restartAgent();
		host.pass(1000);
		assert.deepEqual([...host.view().hosts.keys()].sort(), ['a-1', 'a-2', 'b-1']);
	});

	it('keeps serving through any order of failed polls, late reports, deaths and restarts of its agent', async () => {
		const lost = fc.subarray(all);
		const step = fc.oneof(
			lost.map(ids => (host: Host) => {
				host.lose(ids);
			}),
			fc.tuple(fc.constantFrom('a-2', 'b-1'), lost).map(([from, ids]) => (host: Host) => {
				host.hearLost(from, ids);
			}),
			fc.constantFrom<(host: Host) => void>(host => {
				host.killAgent();
			}, host => {
				host.restartAgent();
			}, host => {
				host.report();
			}),
			fc.integer({min: tickMs, max: 20_000}).map(ms => (host: Host) => {
				host.pass(ms);
			}),
		);
		await fc.assert(fc.asyncProperty(fc.array(step, {maxLength: 20}), async steps => {
			const host = createHost();
			for (const take of steps) {
				take(host);
				host.pass(tickMs);
				assert.equal(await host.ask(), 'served');
			}
		}), {numRuns: 200});
	});
});
