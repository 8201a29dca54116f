/**
 * The agent: builds the view of the fleet, exchanges state with the agents of
 * other hosts, and feeds its host's entry. Clock, platform and engines are
 * passed in, so that tests can run the whole agent.
 */
import {createViewPublisher} from '../../../adapters/view-feed/index.js';
import {listenPeers, type PeerHello} from '../../../adapters/peer-tcp/index.js';
import {createFleetTable} from '../../../domain/create-fleet-table/index.js';
import {createLeavingOverrides} from '../../../domain/create-leaving-overrides/index.js';
import {createMembership, type Membership} from '../../../domain/create-membership/index.js';
import {type HostId} from '../../../ports/ids.js';
import {type HostStatus} from '../../../ports/view.js';
import {type Agent, type AgentOptions} from './agent-types.js';
import {createMesh, type Target} from './create-mesh.js';
import {followEntry} from './follow-entry.js';
import {isEntryAnswering} from './is-entry-answering.js';
import {isPlatformReader} from './is-platform-reader.js';
import {keepDocuments, type KeepDocumentsOptions} from './keep-documents.js';
import {createPauseTracker} from './create-pause-tracker.js';
import {servePeers, type PeerService} from './serve-peers.js';
import {spreadLoads} from './spread-loads.js';
import {spreadSummaries} from './spread-summaries.js';
import {createPeerNotifier} from './create-peer-notifier.js';
import {manageServers} from './manage-servers.js';
import {watchTwin} from './watch-twin.js';

export {type Agent, type AgentCounts, type AgentOptions} from './agent-types.js';

/** Longest time between two ticks, milliseconds, and the minimum number of ticks in a heartbeat interval. */
const maxTickMs = 200;
const ticksAnInterval = 5;

/** Heartbeat intervals of silence after which a connection is dropped: if the peer has vanished without closing it, nothing else ends it soon. */
const silentIntervals = 4;

/** Heartbeat intervals after a pause in which this process hears from its peers again; until then its state may be outdated, and it does not act. */
const quietIntervals = 2;
/** Timeout of the check whether another host's entry still answers, before what it holds on servers is released. */
const probeTimeoutMs = 300;

/** Time for the messages that this host leaves to be sent, before connections are closed. */
const leaveFlushMs = 100;

function startMembership({settings, clock}: AgentOptions, agentAddress: string): Membership {
	const {hostId: id, zone, seeds, heartbeatInterval: intervalMs, suspectAfter, deadAfter} = settings;
	return createMembership({
		id,
		zone,
		incarnation: clock.wallNow(),
		agentAddress,
		seeds,
		intervalMs,
		probeMs: Math.max(intervalMs, suspectAfter - intervalMs),
		suspicionMs: deadAfter - suspectAfter,
		startedAt: clock.now(),
	});
}

/**
 * Starts the agent.
 *
 * @param options - See {@link AgentOptions}.
 * @returns The running agent once it listens for peers.
 */
export async function startAgent(options: AgentOptions): Promise<Agent> {
	const {settings, clock, random, toEngine, log, tls} = options;
	const {hostId, zone, heartbeatInterval: intervalMs} = settings;
	const {now} = clock;
	const startedAt = now();
	const stop = new AbortController();
	const {signal} = stop;
	const incarnation = clock.wallNow();
	const hello = (): PeerHello => ({
		host: hostId, zone, role: 'agent', incarnation,
	});
	const onCall: PeerService['onCall'] = async (...args) => service.onCall(...args);
	const onEvent: PeerService['onEvent'] = (...args) => {
		service.onEvent(...args);
	};

	const listener = await listenPeers({
		bind: settings.bind,
		port: settings.peerPort,
		hello,
		tls,
		onCall,
		onEvent,
		onConnect(connection) {
			service.onConnect(connection);
		},
		onRefused(reason) {
			log.debug('peer refused', {reason});
		},
	});
	const address = `${settings.bind}:${listener.port}`;
	const counts = {
		platformReads: 0, orphansReleased: 0, ordersGiven: 0, configsRefused: 0,
	};
	const table = createFleetTable();
	const leavingOverrides = createLeavingOverrides();
	const publisher = createViewPublisher();
	const membership = startMembership(options, address);
	const mesh = createMesh({
		hello,
		tls,
		onCall,
		onEvent,
		silenceMs: silentIntervals * intervalMs,
		onUnreachable(peerAddress, reason) {
			log.info('cannot connect to a peer', {peerAddress, reason, remedy: 'none if the host was removed; otherwise check that its agent runs and has peer keys of the same authority'});
		},
	});
	const pauses = createPauseTracker({
		now,
		startedAt,
		quietMs: quietIntervals * intervalMs,
		onPaused(pausedMs) {
			mesh.resetSilence(now());
			log.warn('this process was paused', {durationMs: Math.round(pausedMs), remedy: 'none if pauses are rare; otherwise replace this host, whose machine is overloaded or was migrated'});
		},
	});
	const hosts = () => membership.hosts(now());
	const toTarget = (host: HostId): Target => ({to: host, address: membership.record(host)?.agentAddress ?? ''});
	const call: KeepDocumentsOptions['call'] = async (host, ...args) => mesh.call(toTarget(host), ...args);
	const documents = keepDocuments({
		...options,
		table,
		pauses,
		call,
		callAddress: async (peerAddress, ...args) => mesh.call({to: undefined, address: peerAddress}, ...args),
		onDocumentChange(origin) {
			notifier.announceVersions(origin);
			publish();
		},
		onFleet(fleet) {
			membership.addSeeds(fleet.hosts.filter(({id, state}) => id !== hostId && state === 'live').map(({peerAddress}) => peerAddress));
		},
		isPlatformReader: silentMs => isPlatformReader({id: hostId, zone}, hosts().values(), silentMs),
		counts,
		now,
		startedAt,
		signal,
	});
	const send = (host: HostStatus, name: string, body: unknown) => {
		mesh.send({to: host.id, address: host.agentAddress}, name, body);
	};

	const summaries = spreadSummaries({
		table, self: {id: hostId, zone}, hosts, send, intervalMs, now, wallNow: clock.wallNow, random, toArrival: pauses.toEarliestArrival, smallFleet: options.smallFleet,
	});
	const notifier = createPeerNotifier({
		mesh, membership, versions: documents.versions, toPiggybackedSummary: summaries.toPiggybackedSummary,
	});
	const loads = spreadLoads({
		table,
		leavingOverrides,
		self: () => ({id: hostId, zone}),
		hosts,
		send,
		call,
		spreadTargets: origin => membership.spreadTargets(origin).map(({id}) => hosts().get(id)).filter(status => status !== undefined),
		now,
		toArrival: pauses.toEarliestArrival,
		smallFleet: options.smallFleet,
	});
	const entry = followEntry({
		hello,
		tls,
		publishState(statement) {
			notifier.sendMessages(membership.state(statement, now()));
		},
		previousEntry: membership.entrySeen,
		onEnded(ended) {
			log.info('an entry of this host has ended', {reason: `all entries up to incarnation ${ended} have ended; what they held on servers is released`});
			noteHosts();
		},
		signal,
	});
	const managedServers = manageServers({
		settings,
		toEngine,
		log,
		random,
		table,
		hosts,
		loads,
		leavingOverrides,
		incarnation,
		pauses,
		isAnswering: async (owner, entryAddress) => isEntryAnswering(owner, entryAddress, {hello, tls, connectTimeoutMs: probeTimeoutMs}),
		isBehind: documents.isBehind,
		counts,
		now,
		signal,
	});
	const service = servePeers({
		hostId, membership, mesh, notifier, documents, loads, summaries, entry, publisher, publish, pauses, now,
	});
	const twinWatch = watchTwin({
		hostId, address, twin: () => membership.twin(now()), log,
	});

	function publish() {
		// Without a configuration the agent publishes nothing, so that it does not overwrite the view that its entry has from before a restart.
		if (table.accepted()) {
			publisher.publish(table.view(now()), entry.incarnationFloor(), now());
		}
	}

	function noteHosts() {
		table.setHosts(hosts());
		managedServers.noteHosts(hosts());
	}

	const ticker = setInterval(() => {
		pauses.check();
		notifier.sendMessages(membership.tick(now(), random).messages);
		mesh.dropSilent(now());
		noteHosts();
		loads.tick();
		summaries.tick();
		twinWatch.check();
		publish();
	}, Math.min(maxTickMs, intervalMs / ticksAnInterval));

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
		heldOrders: managedServers.heldOrders,
		notReadyReasons: () => table.accepted() ? [] : [{reason: 'no configuration has been accepted yet', remedy: 'check that --platform-url or one of --seeds answers and serves a valid document'}],
		warnings: twinWatch.reasons,
		twin: () => membership.twin(now()),
		reloadKeys: listener.reloadKeys,
		async stop() {
			clearInterval(ticker);
			notifier.sendMessages(membership.leave(now()));
			await new Promise(resolve => {
				setTimeout(resolve, leaveFlushMs);
			});
			stop.abort();
			mesh.close();
			await Promise.all([documents.done, managedServers.done, listener.close()]);
		},
	};
}
