/** Simulates the membership, loads and summaries of agents on a logical clock, and counts the bytes of their frames. */
import {encodeFrame} from '../../../src/adapters/peer-tcp/_lib/frame.js';
import {createFleetTable} from '../../../src/domain/create-fleet-table/index.js';
import {createLeavingOverrides} from '../../../src/domain/create-leaving-overrides/index.js';
import {createNetwork} from '../../../src/domain/create-membership/_test/create-network.js';
import {toConfig, toReport, toServer} from '../../../src/domain/create-placement/_lib/fixtures.js';
import {omitContacts} from '../../../src/domain/omit-contacts/index.js';
import {pickPollers} from '../../../src/domain/pick-pollers/index.js';
import {type ServerEntry} from '../../../src/ports/config.js';
import {type HostStatus} from '../../../src/ports/view.js';
import {peerCalls, peerEvents, type KnownVersions} from '../../../src/programs/agent/_lib/peer-messages.js';
import {spreadLoads} from '../../../src/programs/agent/_lib/spread-loads.js';
import {spreadSummaries} from '../../../src/programs/agent/_lib/spread-summaries.js';
import {createRandom} from '../../_lib/create-random.js';

/** IPv4 and TCP headers with time stamps, of the message and of its acknowledgement. */
const headerBytes = 104;
const tickMs = 200;
const pollMs = 1000;
const linkMs = 1;
const sliceMs = 50;
const serversOfHost = 6.75;
const models = ['one', 'two', 'three'];
const slots = 20;
const wallStart = 1_700_000_000_000;

const versions: KnownVersions = {
	config: {edition: 12, revision: 3456, digest: '0123456789abcdef'}, fleet: {edition: 0, revision: 7890, digest: '0123456789abcdef'}, confirmedAgeMs: 1234,
};

export type Kind = 'membership' | 'loads' | 'summaries';
export type Sent = Record<Kind, number>;

const frameBytes = (name: string, body: unknown): number => encodeFrame({type: 'event', name, body}).map(frame => frame.length).unwrapOr(0);

function toServers(zone: string, count: number): ServerEntry[] {
	return Array.from({length: count}, (_, i) => toServer(`${zone}-s${i}`, i % 3 === 0 ? 'prefill' : 'decode', {zone, pool: models[Math.floor(i / 3) % models.length]!, slots}));
}

/**
 * Creates the fleet. Agents poll and send loads only after `startLoads`.
 *
 * @param hostsOfZone - Number of hosts by zone.
 * @param seed - Seed of the random number generator.
 * @returns Agents, network with its clock, zones that are full, and bytes sent by host.
 */
export function createSpreadFleet(hostsOfZone: Readonly<Record<string, number>>, seed: number) {
	const random = createRandom(seed);
	const sent = new Map<string, Sent>();
	const full = new Set<string>();
	let hasLoads = false;
	let due: Array<{at: number; run: () => void}> = [];
	const zones = Object.keys(hostsOfZone);
	const shared = toConfig([], {
		zones: zones.map(id => ({id, region: 'r'})),
		pools: models.map(name => ({
			name, kind: 'model', model: name, version: 'v1', adapters: [], classes: ['quick'],
		})),
	});

	function count(host: string, kind: Kind, bytes: number) {
		const ofHost = sent.get(host) ?? {membership: 0, loads: 0, summaries: 0};
		ofHost[kind] += bytes;
		sent.set(host, ofHost);
	}

	const network = createNetwork({
		zones: hostsOfZone,
		random,
		onMessage(from, message, to) {
			const hasVersions = message.kind === 'ping' || message.kind === 'zones';
			const plainBytes = frameBytes(peerEvents.member, hasVersions ? {message, versions} : {message});
			count(from, 'membership', plainBytes + headerBytes);
			const summary = message.kind === 'ping' ? agents.get(from)?.summaries.toPiggybackedSummary(to) : undefined;
			if (summary) {
				count(from, 'summaries', frameBytes(peerEvents.member, {message, versions, summaries: summary}) - plainBytes);
				later(() => agents.get(to)?.summaries.handlePiggybackedSummary(summary));
			}
		},
	});

	function later(run: () => void) {
		due.push({at: network.now() + linkMs, run});
	}

	function startAgent(id: string, zone: string) {
		const table = createFleetTable();
		const hosts = () => network.nodes.get(id)!.membership.hosts(network.now());
		const common = {
			table, hosts, now: network.now, toArrival: network.now,
		};
		const lengths = new WeakMap<object, number>();
		const send = (to: HostStatus, name: string, body: unknown) => {
			const bytes = lengths.get(body as object) ?? frameBytes(name, body) + headerBytes;
			lengths.set(body as object, bytes);
			count(id, name === peerEvents.summaries ? 'summaries' : 'loads', bytes);
			later(() => {
				const agent = agents.get(to.id)!;
				return agent.summaries.handleEvent(name, body) || agent.loads.handleEvent(id, name, body);
			});
		};

		const loads = spreadLoads({
			leavingOverrides: createLeavingOverrides(),
			...common,
			self: () => ({id, zone}),
			send,
			async call(host, method, body) {
				const value = method === peerCalls.reports ? agents.get(host)!.loads.serveReports(body) : undefined;
				return {isOk: () => true, unwrapOr: () => value};
			},
			spreadTargets: () => [],
		});
		const summaries = spreadSummaries({
			...common, self: {id, zone}, send, intervalMs: 1000, wallNow: () => wallStart + network.now(), random,
		});
		return {
			id, zone, table, loads, summaries, offset: Math.floor(random() * tickMs), polls: [] as ServerEntry[], pollOffset: Math.floor(random() * pollMs),
		};
	}

	const agents = new Map<string, ReturnType<typeof startAgent>>();
	for (const {id, zone} of network.nodes.values()) {
		agents.set(id, startAgent(id, zone));
	}

	const serversOf = new Map(zones.map(zone => [zone, toServers(zone, Math.round(hostsOfZone[zone]! * serversOfHost))]));
	for (const {table, zone} of agents.values()) {
		table.setConfig({version: {edition: 1, revision: 1, digest: 'd'}, config: {...shared, servers: serversOf.get(zone)!}, text: ''});
	}

	function assignPolls() {
		const pollers = omitContacts([...network.nodes.get(network.ids[0]!)!.membership.hosts(network.now()).values()]);
		for (const server of [...serversOf.values()].flat()) {
			const [poller] = pickPollers(server, pollers, 1);
			agents.get(poller!)!.polls.push(server);
		}
	}

	function poll({zone, polls, loads, table}: ReturnType<typeof startAgent>) {
		for (const server of polls) {
			const slotsUsed = full.has(zone) ? slots : Math.floor(random() * slots / 2);
			const load = toReport(server, {slotsUsed, model: server.pool, queuedTokens: Math.floor(random() * 9000)});
			loads.spread.notePolled(load, network.now());
			table.noteLoad(load, network.now());
		}
	}

	function step() {
		const now = network.now();
		const ready = due.filter(({at}) => at <= now);
		due = due.filter(({at}) => at > now);
		for (const {run} of ready) {
			run();
		}

		for (const agent of hasLoads ? agents.values() : []) {
			if ((now + agent.pollOffset) % pollMs < 10) {
				poll(agent);
			}

			if ((now + agent.offset) % tickMs < 10) {
				agent.loads.tick();
				agent.summaries.tick();
			}
		}
	}

	return {
		agents,
		full,
		sent,
		network,
		/** Assigns each server to a poller among the hosts that are alive now, and starts polling. */
		startLoads() {
			assignPolls();
			hasLoads = true;
		},
		async run(ms: number) {
			for (let left = ms; left > 0; left -= sliceMs) {
				network.run(Math.min(left, sliceMs), step);
				// Calls between agents are promises, which settle between two slices.
				await new Promise(resolve => {
					setImmediate(resolve);
				});
			}
		},
	};
}

export type SpreadFleet = ReturnType<typeof createSpreadFleet>;
