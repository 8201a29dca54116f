/** Starts relays as processes of their own, with a stand-in store, plain servers, and model servers of several software versions. */
import {findUdpAddress} from '../../_lib/find-udp-address/index.js';
import {startProgram, type LogLine, type Program} from '../../_lib/start-program/index.js';
import {waitUntil} from '../../_lib/wait-until/index.js';
import {callerHost, toRulesDocument} from './published.js';
import {sendCall, type Answer, type RelayCall} from './send-call.js';
import {startServerStandIn, type ServerStandIn, type ServerStandInOptions} from './server.js';
import {startStoreStandIn, type StoreStandIn} from './store.js';

const startDeadlineMs = 20_000;

/** Hosts that all settings name. */
const maxSeeds = 3;

/** A server of the model's pool, or of the plain service if it has no stage. */
export type VersionedServer = ServerStandIn & {version: string; stage?: 'prefill' | 'decode'};

export type RelayProcesses = {
	store: StoreStandIn;
	/** Starts a server and publishes it; its kind is the begin of its id: `prefill`, `decode`, or `desk` for a plain one. */
	startServer: (id: string, version: string, options?: Partial<ServerStandInOptions>) => Promise<VersionedServer>;
	/** Publishes the entry of a server again, with some fields changed. */
	publish: (server: VersionedServer, change?: Record<string, unknown>) => void;
	/** Ends a server and removes its entry. */
	loseServer: (server: VersionedServer) => Promise<void>;
	hosts: () => readonly Program[];
	/** TCP port on which each host takes requests that others pass on, if there are several. */
	peerPort: number;
	/** Kills the process of a host. */
	kill: (host: number) => Promise<void>;
	/** Starts the process of a host that was killed or stopped; it keeps its addresses. */
	restart: (host: number) => Promise<void>;
	/** Waits until each running host has logged as many of the servers as serve. */
	waitForServers: () => Promise<void>;
	ask: (asked: RelayCall) => Promise<Answer>;
	/** Log lines of all processes, also of those that have ended. */
	logs: () => readonly LogLine[];
	stop: () => Promise<void>;
};

export type RelayProcessesOptions = {
	/** Number of hosts, which like the servers belong to two zones by turns. */
	hosts: number;
	/** Build of each host if it is not this one. */
	build?: (host: number) => URL | undefined;
	/** Options of Node itself for the hosts. */
	nodeOptions?: readonly string[];
};

/** Published state of a server that depends on its kind. */
const toKind = ({stage}: VersionedServer): Record<string, unknown> => stage === undefined
	? {service: 'desk'}
	: {service: 'model', stage, models: [{name: 'm', version: 1, adapters: []}]};

const toStage = (id: string): Pick<VersionedServer, 'stage'> => {
	if (id.startsWith('desk')) {
		return {};
	}

	return {stage: id.startsWith('prefill') ? 'prefill' : 'decode'};
};

/**
 * Starts the store and the hosts.
 *
 * @param options - See {@link RelayProcessesOptions}.
 * @returns The processes, once all of them listen.
 */
export async function startRelayProcesses({hosts: hostCount, build, nodeOptions}: RelayProcessesOptions): Promise<RelayProcesses> {
	const store = await startStoreStandIn();
	store.put('op/config', toRulesDocument(1));
	const peerAddress = await findUdpAddress();
	const peerPort = Number(peerAddress.slice(peerAddress.lastIndexOf(':') + 1));
	const toIp = (host: number) => `127.0.0.${host + 1}`;
	const seeds = Array.from({length: Math.min(hostCount, maxSeeds)}, (_, i) => `${toIp(i)}:${peerPort}`).join(',');
	const caches = new Set<string>();
	const servers: VersionedServer[] = [];
	const lost = new Set<VersionedServer>();
	const endedLogs: LogLine[] = [];

	const toZone = (number: number): string => number % 2 === 0 ? 'a' : 'b';

	const startHost = async (host: number): Promise<Program> => startProgram({
		program: 'relay',
		label: `host ${host}`,
		build: build?.(host),
		...(nodeOptions && {nodeOptions}),
		startDeadlineMs,
		env: {
			BANYANPORT_HOST_ID: `front-${host}`, BANYANPORT_BIND: toIp(host), BANYANPORT_ZONE: toZone(host), BANYANPORT_ZONES: 'a=r,b=r', BANYANPORT_CALLER_ADDRESS: `${toIp(host)}:0`, BANYANPORT_OPERATOR_ADDRESS: `${toIp(host)}:0`, BANYANPORT_PLATFORM_ADDRESS: store.address, BANYANPORT_STOP_LIMIT: '4s', BANYANPORT_RETRY_SLACK: '400', BANYANPORT_RETRY_WINDOW: '0s', ...(hostCount > 1 && {BANYANPORT_PEER_ADDRESS: `${toIp(host)}:${peerPort}`, BANYANPORT_SEEDS: seeds}),
		},
	});

	const publish: RelayProcesses['publish'] = (server, change = {}) => {
		store.put(`servers/${server.id}`, {
			...toKind(server), address: server.address, zone: toZone(servers.indexOf(server)), version: server.version, slots: 32, state: 'ready', cold_remaining_ms: 0, sequence: 1, ...change,
		});
	};

	const hosts = await Promise.all(Array.from({length: hostCount}, async (_, i) => startHost(i)));

	const countServing = (host: Program): number => {
		const states = new Map(host.logs().filter(({message}) => message === 'server changed').map(({server, state}) => [server, state]));
		return [...states.values()].filter(state => state === 'serving').length;
	};

	return {
		store,
		async startServer(id, version, options = {}) {
			const started = await startServerStandIn({
				...options, id, version, caches,
			});
			const server: VersionedServer = Object.assign(started, {version, ...toStage(id)});
			servers.push(server);
			publish(server);
			return server;
		},
		publish,
		async loseServer(server) {
			lost.add(server);
			await server.close();
			store.remove(`servers/${server.id}`);
		},
		hosts: () => hosts,
		peerPort,
		async kill(host) {
			await hosts[host]!.kill();
			endedLogs.push(...hosts[host]!.logs());
		},
		async restart(host) {
			hosts[host] = await startHost(host);
		},
		async waitForServers() {
			const serving = servers.length - lost.size;
			await waitUntil(() => hosts.every(host => !host.isRunning() || countServing(host) === serving), {deadlineMs: startDeadlineMs, what: `the hosts to know ${serving} servers`});
		},
		ask: async asked => sendCall(hosts[asked.at ?? 0]!.port('callerPort'), {host: callerHost, address: toIp(asked.at ?? 0), asked}),
		logs: () => [...endedLogs, ...hosts.filter(host => host.isRunning()).flatMap(host => host.logs())],
		async stop() {
			await Promise.all(hosts.filter(host => host.isRunning()).map(async host => host.kill()));
			await Promise.all(servers.filter(server => !lost.has(server)).map(async server => server.close()));
			await store.close();
		},
	};
}
