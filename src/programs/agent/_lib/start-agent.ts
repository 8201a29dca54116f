/**
 * The agent: gathers what is known of the fleet and feeds its host's entry.
 * All that touches the outside is handed in, so that tests can run it whole.
 */
import {
	createViewPublisher, feedEvents, type FeedLeaving, type FeedPing,
} from '../../../adapters/view-feed/index.js';
import {
	listenPeers, type PeerConnection, type PeerHello, type PeerKeys,
} from '../../../adapters/peer-tcp/index.js';
import {type Log} from '../../../adapters/log/index.js';
import {createFleetTable} from '../../../domain/create-fleet-table/index.js';
import {createPauseGuard} from '../../../domain/create-pause-guard/index.js';
import {parseFleetList} from '../../../domain/parse-fleet-list/index.js';
import {type Clock, type Random} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type Engine} from '../../../ports/engine.js';
import {type FleetView} from '../../../ports/view.js';
import {type Platform, type PlatformValue} from '../../../ports/platform.js';
import {type AgentSettings} from '../settings.js';
import {readCandidate} from './read-candidate.js';
import {pollLoads} from './poll-loads.js';
import {watchPlatform} from './watch-platform.js';

const tickMs = 100;
const pauseLimitMs = 2000;

export type AgentOptions = {
	settings: Pick<AgentSettings, 'hostId' | 'zone' | 'bind' | 'peerPort' | 'seeds' | 'entryAddress' | 'pollInterval' | 'heartbeatInterval'>;
	clock: Clock;
	random: Random;
	platform: Platform;
	toEngine: (server: ServerEntry) => Engine;
	log: Log;
	tls?: () => PeerKeys;
};

export type Agent = {
	peerPort: number;
	view: () => FleetView;
	stop: () => Promise<void>;
};

/**
 * Starts the agent.
 *
 * @param options - See {@link AgentOptions}.
 * @returns The running agent once it listens for peers.
 */
export async function startAgent(options: AgentOptions): Promise<Agent> {
	const {settings, clock, random, platform, toEngine, log} = options;
	const {hostId, zone} = settings;
	const hello: PeerHello = {
		host: hostId, zone, role: 'agent', incarnation: clock.wallNow(),
	};
	const stop = new AbortController();
	const table = createFleetTable();
	const publisher = createViewPublisher();
	const guard = createPauseGuard({limitMs: pauseLimitMs, startedAt: clock.now()});

	function isOwnEntry({role, host}: PeerHello): boolean {
		return role === 'entry' && host === hostId;
	}

	function takeConfig({revision, value}: PlatformValue) {
		const candidate = readCandidate(table.accepted(), value, revision);
		if (candidate.isErr()) {
			log.warn('configuration refused', {revision, reason: candidate.error.message});
			return;
		}

		const {edition, digest} = candidate.value.version;
		log.info('configuration accepted', {revision, edition, digest});
		table.setConfig(candidate.value);
	}

	function takeFleet({revision, value}: PlatformValue) {
		const fleet = parseFleetList(value);
		if (fleet.isErr()) {
			log.warn('host list refused', {revision, reason: fleet.error.message});
			return;
		}

		table.setFleet(fleet.value, revision);
	}

	function takeEvent(connection: PeerConnection, name: string, body: unknown) {
		if (!isOwnEntry(connection.peer)) {
			return;
		}

		if (name === feedEvents.ping) {
			publisher.notePing(connection, body as FeedPing, clock.now());
			publish();
		} else if (name === feedEvents.leaving) {
			table.noteLeaving((body as FeedLeaving).server, clock.now());
		}
	}

	function publish() {
		// An agent that knows nothing yet must not make its entry forget what it knows.
		if (table.accepted()) {
			publisher.publish(table.view(clock.now()), 0, clock.now());
		}
	}

	const listener = await listenPeers({
		bind: settings.bind,
		port: settings.peerPort,
		hello,
		tls: options.tls,
		onConnect(connection) {
			if (isOwnEntry(connection.peer)) {
				publisher.add(connection);
			}
		},
		onEvent(_peer, name, body, connection) {
			takeEvent(connection, name, body);
		},
		onRefused(reason) {
			log.debug('peer refused', {reason});
		},
	});

	const watch = async (key: 'config' | 'fleet', revision: () => number, onValue: (value: PlatformValue) => void) => watchPlatform({
		platform,
		key,
		isReader: () => true,
		revision,
		onValue,
		onConfirmed(askedAt) {
			table.noteConfirmed(guard.toSoundTime(askedAt, clock.now()));
		},
		onFailure({kind, message}) {
			log.warn('the platform was not read', {kind, reason: message});
		},
		onRead() {}, // eslint-disable-line @typescript-eslint/no-empty-function -- counted once metrics are wired
		now: clock.now,
		random,
		signal: stop.signal,
	});

	const ticker = setInterval(() => {
		guard.note(clock.now());
		publish();
	}, tickMs);
	const tasks = [
		watch('config', () => table.accepted()?.version.revision ?? 0, takeConfig),
		watch('fleet', () => table.fleet()?.revision ?? 0, takeFleet),
		pollLoads({
			servers: () => table.accepted()?.config.servers.filter(({role}) => role !== 'plain') ?? [],
			toEngine,
			intervalMs: settings.pollInterval,
			onLoad(load, askedAt) {
				table.noteLoad(load, guard.toSoundTime(askedAt, clock.now()) - load.ageMs);
			},
			onUnreachable: table.noteUnreachable,
			now: clock.now,
			random,
			signal: stop.signal,
		}),
	];

	return {
		peerPort: listener.port,
		view: () => table.view(clock.now()),
		async stop() {
			stop.abort();
			clearInterval(ticker);
			await Promise.all([...tasks, listener.close()]);
		},
	};
}
