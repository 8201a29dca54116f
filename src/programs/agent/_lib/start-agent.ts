/**
 * The agent: gathers what is known of the fleet, keeps in touch with its peers,
 * and feeds its host's entry. All that touches the outside is handed in, so
 * that tests can run it whole.
 */
import {
	configCall, createViewPublisher, feedEvents, type FeedConfig, type FeedLeaving, type FeedPing,
} from '../../../adapters/view-feed/index.js';
import {
	connectPeer, listenPeers, type PeerConnection, type PeerHello, type PeerKeys,
} from '../../../adapters/peer-tcp/index.js';
import {type Log} from '../../../adapters/log/index.js';
import {isRecord} from '../../../_lib/is-record/index.js';
import {pickRanked} from '../../../_lib/pick-ranked/index.js';
import {compareConfigVersions} from '../../../domain/compare-config-versions/index.js';
import {createFleetTable} from '../../../domain/create-fleet-table/index.js';
import {createMembership, type OutMessage} from '../../../domain/create-membership/index.js';
import {createPauseGuard} from '../../../domain/create-pause-guard/index.js';
import {type Clock, type Random} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type Engine} from '../../../ports/engine.js';
import {type HostId, type ServerId} from '../../../ports/ids.js';
import {type FleetView} from '../../../ports/view.js';
import {type Platform, type PlatformKey} from '../../../ports/platform.js';
import {type AgentSettings} from '../../_settings/index.js';
import {createMesh} from './create-mesh.js';
import {createPolled} from './create-polled.js';
import {followEntry} from './follow-entry.js';
import {giveOrders} from './give-orders.js';
import {holdDocuments, type DocumentNotices} from './hold-documents.js';
import {
	isKnownVersions, isMemberEvent, peerCalls, peerEvents, type KnownVersions, type MemberEvent,
} from './peer-messages.js';
import {pollLoads} from './poll-loads.js';
import {releaseOrphans} from './release-orphans.js';
import {spreadDocument, type DocumentKind} from './spread-document.js';
import {spreadLoads} from './spread-loads.js';
import {watchPlatform} from './watch-platform.js';

const mostTickMs = 200;
const ticksAnInterval = 5;
const pauseLimitMs = 2000;
const readersOfZone = 2;

/** The platform's confirmation is renewed this often, since orders need a fresh one. */
const confirmMs = 6000;

/** Without news of the platform for this long, one more host of the zone reads it; and so on. */
const moreReadersMs = 15_000;
const mostReaders = 6;

/** Time in which a starting agent learns from its peers, before it listens to a platform that may be stale. */
const joinMs = 3000;
const silentIntervals = 4;
const probeTimeoutMs = 300;
const leaveFlushMs = 100;

export type AgentOptions = {
	settings: Pick<AgentSettings, 'hostId' | 'zone' | 'bind' | 'peerPort' | 'seeds' | 'platformWait' | 'loadPollInterval' | 'heartbeatInterval' | 'suspectAfter' | 'deadAfter'>;
	clock: Clock;
	random: Random;
	platform: Platform;
	toEngine: (server: ServerEntry) => Engine;
	/** Told of the servers of each new configuration, to let go of the clients of others. */
	keepOnly?: (servers: ReadonlySet<ServerId>) => void;
	log: Log;
	tls?: () => PeerKeys;
};

export type AgentCounts = {
	platformReads: number;
	orphansReleased: number;
	ordersGiven: number;
	/** Different configuration documents that were refused. */
	configsRefused: number;
	sentBytes: number;
	receivedBytes: number;
	connections: number;
};

export type Agent = {
	peerPort: number;
	view: () => FleetView;
	counts: () => AgentCounts;
	notices: () => DocumentNotices;
	/** Whether it has a configuration and may be relied on; with reasons when not. */
	notReady: () => ReadonlyArray<{reason: string; remedy: string}>;
	/** Takes changed keys for new connections. */
	reloadKeys: () => void;
	/** Says that this host drains; its entry goes on until it is done. */
	drain: () => void;
	/** Says goodbye to the peers and ends. */
	stop: () => Promise<void>;
};

/**
 * Starts the agent.
 *
 * @param options - See {@link AgentOptions}.
 * @returns The running agent once it listens for peers.
 */
export async function startAgent(options: AgentOptions): Promise<Agent> {
	const {settings, clock, random, platform, toEngine, log, tls} = options;
	const {hostId, zone, heartbeatInterval: intervalMs} = settings;
	const {now} = clock;
	const startedAt = now();
	const stop = new AbortController();
	const {signal} = stop;
	const incarnation = clock.wallNow();
	const hello = (): PeerHello => ({
		host: hostId, zone, role: 'agent', incarnation,
	});
	const table = createFleetTable();
	const publisher = createViewPublisher();
	const guard = createPauseGuard({limitMs: pauseLimitMs, startedAt});
	const counts = {
		platformReads: 0, orphansReleased: 0, ordersGiven: 0, configsRefused: 0,
	};
	let heardFromPeer = false;
	let quietUntil = startedAt;
	let pausedAt = startedAt;

	const listener = await listenPeers({
		bind: settings.bind, port: settings.peerPort, hello, tls, onCall, onConnect, onEvent, onRefused(reason) {
			log.debug('peer refused', {reason});
		},
	});
	const membership = createMembership({
		id: hostId,
		zone,
		incarnation,
		agentAddress: `${settings.bind}:${listener.port}`,
		seeds: settings.seeds,
		intervalMs,
		probeMs: Math.max(intervalMs, settings.suspectAfter - intervalMs),
		suspicionMs: settings.deadAfter - settings.suspectAfter,
		startedAt,
	});
	const mesh = createMesh({
		hello, tls, onCall, onEvent, silenceMs: silentIntervals * intervalMs,
	});
	const documents = holdDocuments({
		table,
		log,
		onFleet(fleet) {
			membership.addSeeds(fleet.hosts.filter(({id, state}) => id !== hostId && state === 'live').map(({peerAddress}) => peerAddress));
		},
		onRefused() {
			counts.configsRefused += 1;
		},
	});
	const hosts = () => membership.hosts(now());

	function offerConfig(text: string, revision: number, source: string): boolean {
		const isNews = documents.offerConfig(text, revision, source);
		if (isNews) {
			options.keepOnly?.(new Set(table.accepted()!.config.servers.map(({id}) => id)));
		}

		return isNews;
	}

	async function call(host: HostId, method: string, body: unknown, callOptions: {timeoutMs: number}) {
		return mesh.call({to: host, address: membership.record(host)?.agentAddress ?? ''}, method, body, callOptions);
	}

	const createSpread = (kind: DocumentKind, held: typeof documents.config, offer: typeof documents.offerConfig) => spreadDocument({
		kind,
		held,
		offer(text, revision, from) {
			if (offer(text, revision, from)) {
				announce(from);
				publish();
			}
		},
		call,
		onFailure(message, from) {
			log.debug('a document was not fetched', {kind, peer: from, reason: message});
		},
		now,
		random,
		signal,
	});
	const spreads = {
		config: createSpread('config', documents.config, offerConfig),
		fleet: createSpread('fleet', documents.fleet, documents.offerFleet),
	};
	const loads = spreadLoads({
		table,
		self: () => ({id: hostId, zone}),
		hosts,
		send(host, name, body) {
			mesh.send({to: host.id, address: host.agentAddress}, name, body);
		},
		call,
		spreadTargets: origin => membership.spreadTargets(origin).map(({id}) => hosts().get(id)).filter(status => status !== undefined),
		now,
		toArrival,
	});
	const entry = followEntry({
		hello,
		tls,
		state(statement) {
			dispatch(membership.state(statement, now()));
		},
		seenBefore: membership.entrySeen,
		onEnded(ended) {
			log.info('an entry of this host has ended', {count: ended});
			noteHosts();
		},
		signal,
	});

	const polledServers = createPolled({table, hosts, hostId});

	function mayAct(): boolean {
		checkPause();
		return now() >= quietUntil;
	}

	const orphans = releaseOrphans({
		servers: polledServers,
		toEngine,
		hosts,
		async isAnswering(owner, address) {
			const connected = await connectPeer({
				address, hello, tls, connectTimeoutMs: probeTimeoutMs,
			});
			if (connected.isErr()) {
				return false;
			}

			connected.value.close();
			const {host, incarnation: answering} = connected.value.peer;
			return host === owner.host && answering === owner.incarnation;
		},
		mayAct,
		onReleased(count) {
			counts.orphansReleased += count;
		},
		log,
		now,
		random,
		signal,
	});

	function versions(): KnownVersions {
		const {platformConfirmedAt: at} = table.view(now());
		return {config: spreads.config.version(), fleet: spreads.fleet.version(), confirmedAgeMs: at === undefined ? undefined : Math.ceil(now() - at)};
	}

	function dispatch(messages: readonly OutMessage[]) {
		for (const {to, address, message} of messages) {
			const isAnswer = message.kind !== 'ping' && message.kind !== 'zones';
			const event: MemberEvent = isAnswer ? {message} : {message, versions: versions()};
			mesh.send({to, address}, peerEvents.member, event);
		}
	}

	/** Tells of a newer document whoever has not heard it from where it came from. */
	function announce(origin: HostId) {
		for (const {id, agentAddress} of membership.spreadTargets(origin)) {
			mesh.send({to: id, address: agentAddress}, peerEvents.versions, versions());
		}
	}

	function takeVersions(from: HostId, known: KnownVersions) {
		heardFromPeer = true;
		spreads.config.noteVersion(from, known.config);
		spreads.fleet.noteVersion(from, known.fleet);
		if (known.confirmedAgeMs !== undefined) {
			table.noteConfirmed(toArrival() - known.confirmedAgeMs);
		}
	}

	function onEvent(peer: PeerHello, name: string, body: unknown, connection?: PeerConnection) {
		checkPause();
		if (peer.role === 'entry') {
			takeEntryEvent(connection, name, body);
		} else if (name === peerEvents.member && isMemberEvent(body)) {
			if (body.versions) {
				takeVersions(peer.host, body.versions);
			}

			dispatch(membership.receive(body.message, peer.host, now()));
		} else if (name === peerEvents.versions && isKnownVersions(body)) {
			takeVersions(peer.host, body);
		} else {
			loads.takeEvent(peer.host, name, body);
		}
	}

	function takeEntryEvent(connection: PeerConnection | undefined, name: string, body: unknown) {
		if (connection?.peer.host !== hostId || !isRecord(body)) {
			return;
		}

		if (name === feedEvents.ping) {
			const ping = body as FeedPing;
			publisher.notePing(connection, ping, now());
			entry.notePing(connection, ping);
			void learnFromEntry(connection, ping);
			publish();
		} else if (name === feedEvents.leaving) {
			loads.noteLeaving([(body as FeedLeaving).server], hostId);
		}
	}

	/** A restarted agent takes the configuration that its entry still holds. */
	async function learnFromEntry(connection: PeerConnection, {configVersion}: FeedPing) {
		const own = table.accepted()?.version;
		if (!configVersion || (own && compareConfigVersions(configVersion, own) <= 0)) {
			return;
		}

		const reply = await connection.call(configCall, {}, {timeoutMs: joinMs});
		const held = reply.unwrapOr(undefined) as FeedConfig | undefined;
		if (held && offerConfig(held.text, held.version.revision, 'entry')) {
			announce(hostId);
			publish();
		}
	}

	async function onCall({role}: PeerHello, method: string, body: unknown): Promise<unknown> {
		const kind = isRecord(body) ? body.kind : undefined;
		if (role === 'agent' && method === peerCalls.reports) {
			return loads.serveReports(body);
		}

		if (role === 'agent' && (kind === 'config' || kind === 'fleet') && (method === peerCalls.manifest || method === peerCalls.chunks)) {
			return spreads[kind].serve(method, body);
		}

		throw new Error(`no method ${method} for an ${role}`);
	}

	function onConnect(connection: PeerConnection) {
		const {host, role} = connection.peer;
		if (role === 'agent' && host !== hostId) {
			mesh.adopt(connection);
		} else if (role === 'entry' && host === hostId) {
			publisher.add(connection);
			entry.add(connection);
		}
	}

	function publish() {
		// An agent that knows nothing yet must not make its entry forget what it knows.
		if (table.accepted()) {
			publisher.publish(table.view(now()), entry.floor(), now());
		}
	}

	function noteHosts() {
		table.setHosts(hosts());
		orphans.noteHosts(hosts());
	}

	function checkPause() {
		const pausedMs = guard.note(now());
		if (pausedMs > 0) {
			// Until it has heard its peers again, this process believes what was true before.
			quietUntil = now() + (2 * intervalMs);
			pausedAt = now() - pausedMs;
			mesh.restart(now());
			log.warn('this process was paused', {durationMs: Math.round(pausedMs)});
		}
	}

	/** Latest time at which something that was asked for then and read now is sure to have been true. */
	function toSoundTime(askedAt: number): number {
		checkPause();
		return guard.toSoundTime(askedAt, now());
	}

	/**
	 * When what a peer said has arrived, at the earliest. Just after a pause it may
	 * have waited in a socket since before, and its age was true then.
	 */
	function toArrival(): number {
		checkPause();
		return now() < quietUntil ? pausedAt : now();
	}

	function isReader(): boolean {
		const joined = now() - startedAt >= joinMs || settings.seeds.length === 0 || (heardFromPeer && !spreads.config.isBehind() && table.accepted() !== undefined);
		if (!joined) {
			return false;
		}

		const {platformConfirmedAt: at = startedAt} = table.view(now());
		const count = Math.min(mostReaders, readersOfZone + Math.floor((now() - at) / moreReadersMs));
		const alive = [...hosts().values()].filter(host => host.zone === zone && host.life === 'alive').map(({id}) => id);
		return pickRanked(`reader ${zone}`, alive, count).includes(hostId);
	}

	const watch = async (key: PlatformKey) => watchPlatform({
		platform,
		key,
		isReader,
		waitMs: Math.min(settings.platformWait, confirmMs),
		onValue({value, revision}) {
			const isConfig = key === 'config';
			const held = isConfig ? documents.config() : documents.fleet();
			const isNews = isConfig ? offerConfig(value, revision, 'platform') : documents.offerFleet(value, revision, 'platform');
			if (isNews) {
				announce(hostId);
				publish();
			}

			// The text in force under a later revision may be an old text in the place of a new one.
			return isNews || (held !== undefined && held.version.revision >= revision && (!isConfig || held.text === value));
		},
		onConfirmed(askedAt) {
			table.noteConfirmed(toSoundTime(askedAt));
		},
		onFailure({kind, message}) {
			log.debug('the platform was not read', {kind, reason: message});
		},
		onRead() {
			counts.platformReads += 1;
		},
		now,
		random,
		signal,
	});

	const ticker = setInterval(() => {
		checkPause();
		dispatch(membership.tick(now(), random).messages);
		mesh.dropSilent(now());
		noteHosts();
		loads.tick();
		publish();
	}, Math.min(mostTickMs, intervalMs / ticksAnInterval));
	const tasks = [
		watch('config'),
		watch('fleet'),
		pollLoads({
			servers: polledServers,
			toEngine,
			intervalMs: settings.loadPollInterval,
			onLoad(load, askedAt) {
				const loadAt = toSoundTime(askedAt) - load.ageMs;
				loads.spread.notePolled(load, loadAt);
				if (load.state === 'leaving') {
					loads.noteLeaving([load.server], hostId);
				}

				table.noteLoad(load, loadAt);
			},
			onUnreachable(server) {
				loads.spread.noteUnreachable(server);
				table.noteUnreachable(server);
			},
			onEnd: loads.spread.forget,
			random,
			now,
			signal,
		}),
		orphans.done,
		giveOrders({
			view: () => table.view(now()),
			servers: polledServers,
			toEngine,
			mayAct,
			onGiven() {
				counts.ordersGiven += 1;
			},
			log,
			now,
			random,
			signal,
		}),
	];

	return {
		peerPort: listener.port,
		view: () => table.view(now()),
		counts() {
			const {sent, received, connections} = mesh.bytes();
			return {
				...counts, sentBytes: sent, receivedBytes: received, connections,
			};
		},
		notices: documents.notices,
		notReady: () => table.accepted() ? [] : [{reason: 'no configuration has been accepted yet', remedy: 'see that --platform-url or one of --seeds is reached and serves a valid document'}],
		reloadKeys: listener.reloadKeys,
		drain() {
			dispatch(membership.state({leaving: true}, now()));
		},
		async stop() {
			clearInterval(ticker);
			dispatch(membership.leave(now()));
			await new Promise(resolve => {
				setTimeout(resolve, leaveFlushMs);
			});
			stop.abort();
			mesh.close();
			await Promise.all([...tasks, listener.close()]);
		},
	};
}
