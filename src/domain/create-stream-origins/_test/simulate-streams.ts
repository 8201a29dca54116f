/** Streams of callers through hosts in virtual time, beside releases and faults, and what the callers hold in the end. */
import {createRandom} from '../../_test/create-random.js';
import {createStreamBinding, type StreamBinding} from '../../create-stream-binding/index.js';
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type SoftwareVersion} from '../../../ports/ids.js';
import {type StreamOrigin} from '../../../ports/stream-origins.js';
import {msPerSecond} from '../../../ports/units.js';
import {
	createHosts, type ModelHost, type ModelHosts, type ModelHostsOptions, type PickHosts,
} from './create-hosts.js';
import {createVersionedServers, type VersionedServers} from './create-versioned-servers.js';

/** A fault or a release, at a time of the run. */
export type ModelEvent = {at: Milliseconds; act: (world: World) => void};

export type World = {hosts: ModelHosts; servers: VersionedServers; random: Random};

/** How a host that is asked to continue a stream finds where it may go on. */
export type FindOrigin = (request: {host: ModelHost; key: string; world: World}, settle: (origin: StreamOrigin | 'any' | undefined) => void) => void;

export type StreamsScenario = {
	name: string;
	hosts: number;
	zones: number;
	servers: number;
	streamsPerSecond: number;
	lengthMs: Milliseconds;
	lossShare: number;
	events: readonly ModelEvent[];
};

export type StreamsStrategy = {
	name: string;
	toKeepers: PickHosts;
	toAsked: PickHosts;
	/** By the records of hosts, by default. */
	find?: FindOrigin;
};

export type StreamsResult = {
	streams: number;
	/** Streams that hold events of two software versions. */
	joined: number;
	/** Streams that callers took up again at hosts in touch while two servers of their version served, and how many of them went on. */
	resumed: number;
	wentOn: number;
	/** The same at all hosts. */
	resumedAnywhere: number;
	wentOnAnywhere: number;
	bytesPerSecond: number;
	messagesPerSecond: number;
};

const stepMs: Milliseconds = 50;
const pool = 'letters';
const minStreamMs: Milliseconds = 800;
const maxStreamMs: Milliseconds = 6000;
const lifeMs: Milliseconds = 28_000;
/** Tries of a caller, and the pause before each. */
const maxTries = 3;
const minPauseMs: Milliseconds = 100;
const maxPauseMs: Milliseconds = 700;
/** Connections that are reset by chance, per second. */
const resetsPerSecond = 0.01;

type Stream = {
	id: string;
	key: string;
	zone: string;
	endsAt: Milliseconds;
	versions: Set<SoftwareVersion>;
	tries: number;
	at?: {host: ModelHost; hostStart: Milliseconds; server: number; binding: StreamBinding} | undefined;
	returnsAt: Milliseconds;
	isOver: boolean;
};

/**
 * Runs a scenario.
 *
 * @param scenario - Fleet, traffic and faults.
 * @param strategy - How origins are kept and found.
 * @param options - Seed, and the size of a message in bytes.
 * @returns What the callers hold, and what hosts sent each other.
 */
export function simulateStreams(scenario: StreamsScenario, strategy: StreamsStrategy, {seed, toBytes = () => 0}: {seed: number} & Partial<Pick<ModelHostsOptions, 'toBytes'>>): StreamsResult {
	const random = createRandom(seed);
	const hosts = createHosts({
		count: scenario.hosts, zones: scenario.zones, random, lossShare: scenario.lossShare, toKeepers: strategy.toKeepers, toAsked: strategy.toAsked, toBytes,
	});
	const servers = createVersionedServers(scenario.servers, random);
	const world: World = {hosts, servers, random};
	const lags = new Map(hosts.hosts.map(host => [host, random() * msPerSecond]));
	const open = new Set<Stream>();
	const due = scenario.events.toSorted((a, b) => a.at - b.at);
	const counts = {
		streams: 0, joined: 0, resumed: 0, wentOn: 0, resumedAnywhere: 0, wentOnAnywhere: 0,
	};
	let owed = 0;

	/** Servers that a host may use, by what it knows of the platform. */
	const listUsable = (host: ModelHost, binding: StreamBinding) =>
		servers.publishedAt(host.readAt - lags.get(host)!).filter(({softwareVersion}) => binding.accepts({pool, softwareVersion}));

	/** Picks a host for a caller; the hosts of a zone that is cut off serve its own callers only. */
	function pickHost(zone: string): ModelHost | undefined {
		const alive = hosts.hosts.filter(host => host.isAlive);
		const ofZone = alive.filter(host => host.zone === zone);
		const candidates = ofZone.length > 0 ? ofZone : alive;
		return candidates[Math.floor(random() * candidates.length)];
	}

	function finish(stream: Stream): void {
		stream.isOver = true;
		open.delete(stream);
		counts.joined += stream.versions.size > 1 ? 1 : 0;
	}

	function breakOff(stream: Stream): void {
		stream.at = undefined;
		stream.tries++;
		stream.returnsAt = hosts.now() + minPauseMs + (random() * (maxPauseMs - minPauseMs));
		if (stream.tries > maxTries) {
			finish(stream);
		}
	}

	/** Sends a stream to a server that its host knows; the first event binds it, and hosts are told of that. */
	function serve(stream: Stream, host: ModelHost, binding: StreamBinding): boolean {
		const usable = listUsable(host, binding);
		const server = usable[Math.floor(random() * usable.length)];
		if (server === undefined || !servers.isRunning(server.id)) {
			return false;
		}

		const {softwareVersion} = server;
		stream.versions.add(softwareVersion);
		binding.noteEvent({pool, softwareVersion});
		if (stream.at === undefined) {
			host.origins.note({key: stream.key, origin: {pool, softwareVersion}, lifeMs}, hosts.now());
		}

		stream.at = {
			host, hostStart: host.startedAt, server: server.id, binding,
		};
		return true;
	}

	/** Whether the promise covers that a stream goes on at a host. */
	function isPromised(stream: Stream, host: ModelHost): boolean {
		const [version] = stream.versions;
		return hosts.isInTouch(host) && servers.countOf(version!) >= 2;
	}

	function comeBack(stream: Stream, host: ModelHost): void {
		const isCounted = isPromised(stream, host);
		counts.resumedAnywhere++;
		counts.resumed += isCounted ? 1 : 0;
		const settle = (origin: StreamOrigin | 'any' | undefined) => {
			const isLate = stream.isOver || !host.isAlive;
			const binding = origin === 'any' ? createStreamBinding() : createStreamBinding(origin);
			if (isLate || origin === undefined || !serve(stream, host, binding)) {
				breakOff(stream);
				return;
			}

			counts.wentOnAnywhere++;
			counts.wentOn += isCounted ? 1 : 0;
		};

		stream.returnsAt = Infinity;
		const find = strategy.find ?? (({host: at, key}, end) => {
			at.origins.find(key, hosts.now(), end);
		});
		find({host, key: stream.key, world}, settle);
	}

	function begin(): void {
		counts.streams++;
		const id = `s${counts.streams}`;
		const zone = `z${Math.floor(random() * scenario.zones)}`;
		const host = pickHost(zone);
		const stream: Stream = {
			id, key: id, zone, endsAt: hosts.now() + minStreamMs + (random() * (maxStreamMs - minStreamMs)), versions: new Set(), tries: 0, returnsAt: 0, isOver: false,
		};
		if (host !== undefined && serve(stream, host, createStreamBinding())) {
			open.add(stream);
		}
	}

	/** Goes on with a stream for one step: within its answer if its host can, else after its caller has come back. */
	function advance(stream: Stream): void {
		const {at} = stream;
		const now = hosts.now();
		if (at === undefined) {
			const host = now >= stream.returnsAt ? pickHost(stream.zone) : undefined;
			if (host !== undefined) {
				comeBack(stream, host);
			}

			return;
		}

		const isHostLost = !at.host.isAlive || at.host.startedAt !== at.hostStart || random() < resetsPerSecond * stepMs / msPerSecond;
		if (isHostLost || (!servers.isRunning(at.server) && !serve(stream, at.host, at.binding))) {
			breakOff(stream);
		} else if (now >= stream.endsAt) {
			finish(stream);
		}
	}

	while (hosts.now() < scenario.lengthMs) {
		hosts.tick(stepMs);
		servers.tick(hosts.now());
		while (due[0] !== undefined && due[0].at <= hosts.now()) {
			due.shift()!.act(world);
		}

		owed += scenario.streamsPerSecond * stepMs / msPerSecond;
		for (; owed >= 1; owed--) {
			begin();
		}

		for (const stream of open) {
			advance(stream);
		}
	}

	for (const stream of open) {
		finish(stream);
	}

	const {messages, bytes} = hosts.sent();
	const hostSeconds = scenario.hosts * scenario.lengthMs / msPerSecond;
	return {...counts, bytesPerSecond: bytes / hostSeconds, messagesPerSecond: messages / hostSeconds};
}
