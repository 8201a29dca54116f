/**
 * Starts a small complete fleet for failure tests: hosts (agent and entry as
 * processes), engines, plain services and the platform (stand-ins in the process
 * of the test), and publishes a configuration document for them. With
 * `isCuttable`, the network between any two sites can be cut.
 */
import path from 'node:path';
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {type ServerEntry} from '../../../src/ports/config.js';
import {type Hold} from '../../../src/ports/engine.js';
import {type FleetList, type FleetState} from '../../../src/ports/platform.js';
import {
	startEngineStandIn, type EngineStandIn, type EngineStandInOptions, type JudgedRequest,
} from '../../stand-ins/engine/index.js';
import {startPlainStandIn, type PlainStandIn} from '../../stand-ins/plain/index.js';
import {startPlatformStandIn, type PlatformStandIn} from '../../stand-ins/platform/index.js';
import {waitUntil} from '../wait-until/index.js';
import {pickPort} from '../pick-port/index.js';
import {
	createHost, type FleetHost, type Flags, type HostClock,
} from './_lib/create-host.js';
import {createNetwork, type Network} from './_lib/network.js';
import {
	toConfigText, toPools, type ConfigParts, type FleetShape,
} from './_lib/to-config-text.js';

export type {FleetHost, HostClock} from './_lib/create-host.js';
export {usualRoutes, type ConfigParts} from './_lib/to-config-text.js';

export type FleetOptions = {
	/** Names of the zones; two zones by default. */
	zones?: readonly string[];
	hostsPerZone?: number;
	prefillsPerZone?: number;
	decodesPerZone?: number;
	plainsPerZone?: number;
	/** Options of every engine. */
	engine?: Partial<EngineStandInOptions>;
	prefillEngine?: Partial<EngineStandInOptions>;
	decodeEngine?: Partial<EngineStandInOptions>;
	readsPerSecond?: number;
	agentFlags?: Flags;
	entryFlags?: Flags;
	/** Wall clock of all entries, unless `setClock` of a host changes it. */
	entryClock?: HostClock;
	/** Parts that replace those of the default document. */
	config?: ConfigParts;
	/** Starts a relay before each listening port, so that {@link Fleet.network} can cut links; Linux only. */
	isCuttable?: boolean;
	/** Does not start the hosts; the test starts them. */
	isIdle?: boolean;
	startDeadlineMs?: number;
};

export type Fleet = {
	platform: PlatformStandIn;
	hosts: readonly FleetHost[];
	host: (id: string) => FleetHost;
	engines: ReadonlyMap<string, EngineStandIn>;
	engine: (id: string) => EngineStandIn;
	plains: readonly PlainStandIn[];
	/** The configuration document that was published first. */
	configText: string;
	/** The pools of the default document. */
	pools: readonly unknown[];
	/** Serializes a document of the same fleet in which the given parts are replaced. */
	toConfigText: (parts: ConfigParts) => string;
	/** Publishes the states of hosts and servers by id; those not named are `live`. */
	publishFleet: (states: Readonly<Record<string, FleetState>>) => void;
	/** Cuts and heals links; has an effect only with `isCuttable`. Names are the ids of zones, hosts and servers, and `platform`, `hosts`, `servers`. */
	network: Network;
	/** Waits until the entry of each given host (all by default) answers `/v1/models`, and every engine has been polled for its load. */
	waitUntilReady: (hosts?: readonly FleetHost[]) => Promise<void>;
	/** Adds up what the engines counted for one request. */
	judgeRequest: (requestId: string) => JudgedRequest;
	/** Lists the holds on all engines. */
	holds: () => ReadonlyArray<Hold & {server: string}>;
	stop: () => Promise<void>;
};

const model = 'post-summary';
const version = 'v1';

type Started = {servers: ServerEntry[]; engines: Map<string, EngineStandIn>; plains: PlainStandIn[]};

const startServers = async (options: FleetOptions, zones: readonly string[], network: Network | undefined): Promise<Started> => {
	const started: Started = {servers: [], engines: new Map(), plains: []};

	const addEngine = async (id: string, zone: string, role: 'prefill' | 'decode'): Promise<void> => {
		const site = network?.addSite([id, zone, 'servers']);
		const engine = await startEngineStandIn({
			model,
			version,
			...options.engine,
			...(role === 'prefill' ? options.prefillEngine : options.decodeEngine),
			id,
			role,
			port: await pickPort(),
			...(network && site && {network: {localAddress: site.localAddress, toUrl: network.toUrl}}),
		});
		if (network !== undefined && site !== undefined) {
			await network.addTarget(site, engine.port);
		}

		started.engines.set(id, engine);
		const slots = role === 'prefill' ? 4 : (options.decodeEngine?.slots ?? options.engine?.slots ?? 20);
		started.servers.push({
			id, zone, url: engine.url, role, pool: 'summaries', slots, checksFence: options.engine?.checksFence ?? true,
		});
	};

	const addPlain = async (id: string, zone: string): Promise<void> => {
		const plain = await startPlainStandIn({id, port: await pickPort()});
		if (network !== undefined) {
			await network.addTarget(network.addSite([id, zone, 'servers']), plain.port);
		}

		started.plains.push(plain);
		started.servers.push({
			id, zone, url: plain.url, role: 'plain', pool: 'desk', slots: 20, checksFence: false,
		});
	};

	for (const zone of zones) {
		for (let i = 1; i <= (options.prefillsPerZone ?? 1); i++) {
			await addEngine(`${zone}-prefill-${i}`, zone, 'prefill');
		}

		for (let i = 1; i <= (options.decodesPerZone ?? 1); i++) {
			await addEngine(`${zone}-decode-${i}`, zone, 'decode');
		}

		for (let i = 1; i <= (options.plainsPerZone ?? 1); i++) {
			await addPlain(`${zone}-desk-${i}`, zone);
		}
	}

	return started;
};

const sumRequests = (counted: readonly JudgedRequest[]): JudgedRequest => {
	const sum = (name: Exclude<keyof JudgedRequest, 'attempts'>): number => counted.reduce((total, request) => total + request[name], 0);
	return {
		attempts: [...new Set(counted.flatMap(({attempts}) => attempts))].sort((a, b) => a - b),
		reservations: sum('reservations'),
		prefillsStarted: sum('prefillsStarted'),
		prefillsFinished: sum('prefillsFinished'),
		decodesStarted: sum('decodesStarted'),
		decodesFinished: sum('decodesFinished'),
		cancels: sum('cancels'),
		tokens: sum('tokens'),
		wrongContinuations: sum('wrongContinuations'),
	};
};

/** Returns the older build that every second host runs, from the environment variable `FLEET_OLDER_BUILD`, for tests of an upgrade. */
const findOlderBuild = (): URL | undefined => {
	const folder = process.env.FLEET_OLDER_BUILD;
	return folder === undefined ? undefined : pathToFileURL(folder + path.sep);
};

const isServing = async (host: FleetHost): Promise<boolean> => {
	try {
		const answer = await fetch(`${host.callerUrl}/v1/models`, {signal: AbortSignal.timeout(2000)});
		await answer.text();
		return answer.status === 200;
	} catch {
		return false;
	}
};

/**
 * Starts a fleet and waits until it serves requests, unless `isIdle` is set.
 *
 * @param options - Size and settings of the fleet.
 * @returns Handles of all parts of the fleet; `stop` stops everything.
 */
export async function startFleet(options: FleetOptions = {}): Promise<Fleet> {
	const {zones = ['dvorana-a', 'dvorana-b'], hostsPerZone = 1, startDeadlineMs = 30_000} = options;
	const network = createNetwork();
	const cuttable = options.isCuttable ? network : undefined;
	const {servers, engines, plains} = await startServers(options, zones, cuttable);
	const hostEntries = zones.flatMap(zone => Array.from({length: hostsPerZone}, (_, i) => ({id: `${zone}-${i + 1}`, zone})));
	const shape: FleetShape = {
		zones: zones.map(id => ({id, region: 'si-central'})), hosts: hostEntries, servers, model, version, adapters: options.engine?.adapters ?? [],
	};
	const configText = toConfigText(shape, options.config);
	const platform = await startPlatformStandIn({port: await pickPort(), config: configText, ...(options.readsPerSecond !== undefined && {readsPerSecond: options.readsPerSecond})});
	await cuttable?.addTarget(cuttable.addSite(['platform']), platform.port);
	const hosts: FleetHost[] = [];
	for (const [i, {id, zone}] of hostEntries.entries()) {
		hosts.push(await createHost({
			id,
			zone,
			platformUrl: platform.url,
			seeds: () => hosts.map(({agentAddress}) => agentAddress),
			agentFlags: options.agentFlags ?? {},
			entryFlags: options.entryFlags ?? {},
			entryClock: options.entryClock ?? {},
			network: cuttable && {network: cuttable, site: cuttable.addSite([id, zone, 'hosts'])},
			build: i % 2 === 1 ? findOlderBuild() : undefined,
		}));
	}

	const publishFleet = (states: Readonly<Record<string, FleetState>>): void => {
		const list: FleetList = {
			hosts: hosts.map(({id, agentAddress}) => ({id, state: states[id] ?? 'live', peerAddress: agentAddress})),
			servers: servers.map(({id}) => ({id, state: states[id] ?? 'live'})),
		};
		platform.publishFleet(list);
	};

	const find = <T>(value: T | undefined, id: string): T => {
		if (value === undefined) {
			throw new Error(`the fleet has no host or engine ${id}`);
		}

		return value;
	};

	const fleet: Fleet = {
		platform,
		hosts,
		host: id => find(hosts.find(host => host.id === id), id),
		engines,
		engine: id => find(engines.get(id), id),
		plains,
		configText,
		pools: toPools(shape),
		toConfigText: parts => toConfigText(shape, {...options.config, ...parts}),
		publishFleet,
		network,
		async waitUntilReady(some = hosts) {
			await waitUntil(async () => {
				const states = await Promise.all(some.map(async host => isServing(host)));
				return states.every(Boolean);
			}, {deadlineMs: startDeadlineMs, what: 'each entry to answer GET /v1/models with 200', everyMs: 50});
			await waitUntil(() => [...engines.values()].every(engine => (engine.judge().calls['GET engine/load'] ?? 0) > 0), {
				deadlineMs: startDeadlineMs, what: 'each engine to be polled for its load',
			});
		},
		judgeRequest: requestId => sumRequests([...engines.values()].map(engine => engine.judgeRequest(requestId))),
		holds: () => [...engines.values()].flatMap(engine => engine.judge().holds.map(hold => ({...hold, server: engine.id}))),
		async stop() {
			await Promise.all(hosts.map(async host => host.kill()));
			await Promise.all([...engines.values(), ...plains, platform, network].map(async part => part.stop()));
		},
	};
	publishFleet({});
	if (!options.isIdle) {
		try {
			await Promise.all(hosts.map(async host => host.start()));
			await fleet.waitUntilReady();
		} catch (error) {
			await fleet.stop();
			throw error;
		}
	}

	return fleet;
}
