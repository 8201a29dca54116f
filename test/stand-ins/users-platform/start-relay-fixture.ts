/** Starts one or several relays with a stand-in store and stand-in servers, and sends calls to them. */
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {createServerCalls} from '../../../platform/server-calls.js';
import {createStore} from '../../../platform/store.js';
import {createLog} from '../../../src/adapters/log/index.js';
import {createMetrics} from '../../../src/adapters/metrics/index.js';
import {parseSettings} from '../../../src/adapters/settings/index.js';
import {relaySettings} from '../../../src/programs/_settings/index.js';
import {startRelay} from '../../../src/programs/relay/start-relay/index.js';
import {createCollectedLines, type CollectedLines} from '../../_lib/create-collected-lines/index.js';
import {findUdpAddress} from '../../_lib/find-udp-address/index.js';
import {waitUntil} from '../../_lib/wait-until/index.js';
import {type ServerFault} from './apply-server-fault.js';
import {startHostLinks} from './host-links.js';
import {callerHost, routes, toRulesDocument} from './published.js';
import {sendCall, type Answer, type RelayCall} from './send-call.js';
import {startServerStandIn, type ServerStandIn, type ServerStandInOptions} from './server.js';
import {startStoreStandIn, type StoreStandIn} from './store.js';

export {type Answer, type RelayCall} from './send-call.js';

export const deadlineMs = 20_000;

/** Software version of servers without another one. */
const usualVersion = 'v1';

export type RelayFixture = {
	store: StoreStandIn;
	servers: Readonly<Record<'desk1' | 'desk2' | 'prefill1' | 'prefill2' | 'decode1' | 'decode2', ServerStandIn>>;
	caches: Set<string>;
	logs: CollectedLines['lines'];
	ask: (asked: RelayCall) => Promise<Answer>;
	/** Repeats the call until the answer has the given status. */
	askUntil: (asked: RelayCall, status: number) => Promise<Answer>;
	publishRoutes: (version: number, change?: (route: Record<string, unknown>) => Record<string, unknown> | undefined) => void;
	/** Sets the tenants that later publications of routes contain; without them callers need no key. */
	setTenants: (tenants: ReadonlyArray<Record<string, unknown>>) => void;
	/** Sets the limits that later publications of routes contain; none with `null`. */
	setLimits: (limits: Readonly<Record<string, number>> | null) => void;
	publishServer: (server: ServerStandIn, change?: Record<string, unknown>) => void;
	/** Cuts the links of a host to all plain and decode servers; only with `hasLinks`. */
	cutLinks: (host: number) => Promise<void>;
	healLinks: (host: number) => Promise<void>;
	/** `IP:port` of each host for its peers; empty with a single host. */
	peerAddresses: readonly string[];
	/** Port on which a host takes calls. */
	callerPort: (host: number) => number;
	/** Servers in the view of a host. */
	knownServers: (host: number) => ReadonlySet<string>;
	/** Whether the first host is ready. */
	isReady: () => Promise<boolean>;
	/** Stops the hosts as their platform does; requests in flight are completed. */
	stopRelay: () => Promise<void>;
	stop: () => Promise<void>;
};

async function findPort(): Promise<number> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
}

/** Finds addresses for hosts to reach each other: one loopback address per host, all with the same port. */
async function findPeerAddresses(count: number): Promise<string[]> {
	const address = await findUdpAddress();
	const port = address.slice(address.lastIndexOf(':') + 1);
	return Array.from({length: count}, (_, i) => `127.0.0.${i + 1}:${port}`);
}

export type RelayFixtureOptions = Partial<ServerStandInOptions> & {
	/** Number of hosts; several hosts gossip with each other. */
	hosts?: number;
	/** Whether each host has links of its own to the plain and decode servers. */
	hasLinks?: boolean;
	/** Software version of each server that is not of version `v1`; only with it do events name a version. */
	versions?: Readonly<Record<string, string>>;
	/** Retries beyond the ratio that all hosts together may make; each host may make a twentieth of them. */
	retrySlack?: number;
	/** Time after its start in which a host makes no retries from the slack; `0s` by default, as on a host that has run for long. */
	retryWindow?: string;
};

/**
 * Starts the store, the servers and the hosts.
 *
 * @param options - Behaviour of the servers and number of hosts.
 * @returns The fixture, once all hosts know the rules and the servers.
 */
export async function startRelayFixture(options: RelayFixtureOptions = {}): Promise<RelayFixture> {
	return start(options, true);
}

/**
 * Starts a relay whose store is empty.
 *
 * @returns The fixture.
 */
export async function startEmptyRelay(): Promise<RelayFixture> {
	return start({}, false);
}

type HostOptions = {
	name: string;
	store: StoreStandIn;
	collected: CollectedLines;
	/** `IP:port` on which other hosts reach this one. */
	peerAddress: string | undefined;
	/** `IP:port` of hosts to contact at the start. */
	seeds: readonly string[];
	retrySlack: number;
	retryWindow: string;
};

async function startHost({name, store, collected, peerAddress, seeds, retrySlack, retryWindow}: HostOptions) {
	const [callerPort, operatorPort] = await Promise.all([findPort(), findPort()]);
	const settings = parseSettings(relaySettings, {
		argv: [], env: {
			BANYANPORT_HOST_ID: name, BANYANPORT_ZONE: 'a', BANYANPORT_ZONES: 'a=r,b=r', BANYANPORT_CALLER_ADDRESS: `127.0.0.1:${callerPort}`, BANYANPORT_OPERATOR_ADDRESS: `127.0.0.1:${operatorPort}`, BANYANPORT_PLATFORM_ADDRESS: store.address, BANYANPORT_STOP_LIMIT: '4s',
			BANYANPORT_RETRY_SLACK: String(retrySlack),
			BANYANPORT_RETRY_WINDOW: retryWindow,
			BANYANPORT_CONTROL_ADDRESS: '127.0.0.1:7990',
			BANYANPORT_ORDERS_FROM: '127.0.0.1:7990',
			...(peerAddress !== undefined && {BANYANPORT_PEER_ADDRESS: peerAddress, BANYANPORT_SEEDS: seeds.join(',')}),
		},
	})._unsafeUnwrap().values;
	const relay = await startRelay({
		settings,
		clock: {wallNow: () => Date.now(), now: () => performance.now()},
		random: Math.random,
		log: createLog({
			level: 'info',
			program: 'banyanport-relay',
			host: name,
			zone: 'a',
			incarnation: 1,
			sink: collected.sink,
		}),
		metrics: createMetrics(),
		keys: undefined,
		source: createStore(store.address),
		createCalls: createServerCalls,
		callers: {isRelayOnly: true, requestIdHeader: 'request-id', problemStyle: {hasFractionalSeconds: true, isOutcomeInStatus: true, statuses: {'no-rule': 404}}},
	});
	return {relay, callerPort, operatorPort};
}

async function start({hosts: hostCount = 1, hasLinks = false, versions, retrySlack = 400, retryWindow = '0s', ...options}: RelayFixtureOptions, isPublished: boolean): Promise<RelayFixture> {
	const caches = new Set<string>();
	// The relay may choose any server of a kind, so the servers of a kind share their faults.
	const sharedFaults: Record<string, ServerFault[]> = {desk: [], prefill: [], decode: []};
	const toVersion = (id: string): string => versions?.[id] ?? usualVersion;
	const startServer = async (id: string) => startServerStandIn({
		...options, ...(versions && {version: toVersion(id)}), id, caches, sharedFaults: sharedFaults[id.slice(0, -1)]!,
	});
	const [desk1, desk2, prefill1, prefill2, decode1, decode2] = await Promise.all(['desk1', 'desk2', 'prefill1', 'prefill2', 'decode1', 'decode2'].map(async id => startServer(id))) as [ServerStandIn, ServerStandIn, ServerStandIn, ServerStandIn, ServerStandIn, ServerStandIn];
	const servers = {
		desk1, desk2, prefill1, prefill2, decode1, decode2,
	};
	const collected = createCollectedLines();
	const links = await Promise.all(Array.from({length: hasLinks ? hostCount : 0}, async () => startHostLinks([desk1, desk2, decode1, decode2].map(({address}) => address))));
	// A host with links of its own reads the addresses of its links in a store of its own.
	const stores = await Promise.all(Array.from({length: Math.max(1, links.length)}, async () => startStoreStandIn()));
	const store = stores[0]!;
	const publishServer: RelayFixture['publishServer'] = (server, change = {}) => {
		const [kind] = /^[a-z]+/v.exec(server.id) ?? [];
		const stage = kind === 'desk' ? undefined : kind;
		const entry = {
			service: stage === undefined ? 'desk' : 'model', zone: /^[a-z]+1/v.test(server.id) ? 'a' : 'b', version: toVersion(server.id), slots: 8, state: 'ready', cold_remaining_ms: 0, ...(stage !== undefined && {stage, models: [{name: 'm', version: 1, adapters: []}]}), sequence: 1, ...change,
		};
		for (const [i, one] of stores.entries()) {
			one.put(`servers/${server.id}`, {address: links[i]?.toAddress(server.address) ?? server.address, ...entry});
		}
	};

	let tenants: ReadonlyArray<Record<string, unknown>> | undefined;
	let limits: Readonly<Record<string, number>> | null | undefined;
	const publishRoutes: RelayFixture['publishRoutes'] = (version, change = route => route) => {
		const published = toRulesDocument(version, {routes: routes.map(route => change({...route, host: callerHost})).filter(route => route !== undefined), tenants, ...(limits !== undefined && {limits})});
		for (const one of stores) {
			one.put('op/config', published);
		}
	};

	if (isPublished) {
		for (const server of Object.values(servers)) {
			publishServer(server);
		}

		publishRoutes(1);
	}

	const peerAddresses = hostCount === 1 ? [] : await findPeerAddresses(hostCount);
	const hosts = await Promise.all(Array.from({length: hostCount}, async (_, i) => startHost({
		name: `front-a-${i + 1}`, store: stores[i] ?? store, collected, peerAddress: peerAddresses[i], seeds: peerAddresses, retrySlack, retryWindow,
	})));
	await waitUntil(() => !isPublished || hosts.every(({relay}) => relay.view()?.servers.size === 6), {deadlineMs, what: 'the hosts to know all servers'});
	const ask = async (asked: RelayCall) => sendCall(hosts[asked.at ?? 0]!.callerPort, {host: callerHost, asked});
	let isStopped = false;
	return {
		store,
		servers,
		caches,
		logs: collected.lines,
		ask,
		async askUntil(asked, status) {
			return waitUntil(async () => {
				const answer = await ask(asked);
				return answer.status === status && answer;
			}, {deadlineMs, what: `status ${status}`});
		},
		publishRoutes,
		setTenants(next) {
			tenants = next;
		},
		setLimits(next) {
			limits = next;
		},
		publishServer,
		cutLinks: async host => links[host]!.cut(),
		healLinks: async host => links[host]!.heal(),
		peerAddresses,
		callerPort: host => hosts[host]!.callerPort,
		knownServers: host => new Set(hosts[host]!.relay.view()?.servers.keys()),
		async isReady() {
			const res = await fetch(`http://127.0.0.1:${hosts[0]!.operatorPort}/ready`);
			return res.status === 200;
		},
		async stopRelay() {
			isStopped = true;
			await Promise.all(hosts.map(async ({relay}) => relay.stop()));
		},
		async stop() {
			if (!isStopped) {
				await Promise.all(hosts.map(async ({relay}) => relay.abandon()));
				await Promise.all(hosts.map(async ({relay}) => relay.stop()));
			}

			await Promise.all([...links.map(async one => one.stop()), ...stores.map(async one => one.close()), ...Object.values(servers).map(async server => server.close())]);
		},
	};
}

/** Creates the headers of a model call: token count of the prompt and limit of the answer, expected length, and deadline. */
export function toStreamHeaders(over: Record<string, string> = {}): Record<string, string> {
	return {
		model: 'm', 'token-count': '3000,2000', 'length-hint': '800', 'prompt-prefix': 'a:200,b:2800', 'deadline-ms': '14000', ...over,
	};
}
