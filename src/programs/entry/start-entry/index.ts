/**
 * The entry: takes callers' requests and owes each of them its answer. All
 * that touches the outside is handed in or listens on the ports given.
 */
import {type CallerHandlers, startCallerServer} from '../../../adapters/caller-http/index.js';
import {type Log} from '../../../adapters/log/index.js';
import {type Metrics} from '../../../adapters/metrics/index.js';
import {listenPeers, type PeerHello, type PeerListener} from '../../../adapters/peer-tcp/index.js';
import {connectViewFeed, type ViewFeed, type ViewFeedOptions} from '../../../adapters/view-feed/index.js';
import {type Clock, type Milliseconds, type Random} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type FleetView} from '../../../ports/view.js';
import {type EntrySettings} from '../../_settings/index.js';
import {createAccounts, type Accounts} from '../accounts/index.js';
import {createClaims} from '../claims/index.js';
import {serveCompletion} from '../serve-completion/index.js';
import {serveModels} from '../serve-models/index.js';
import {servePlain} from '../serve-plain/index.js';
import {watchPauses} from '../watch-pauses/index.js';
import {createRunServices} from '../_lib/create-run-services.js';
import {createEngines, type EngineClient} from '../_lib/engines.js';
import {createPlainClients, type PlainClients} from '../_lib/plain-clients.js';
import {createRouter} from '../_lib/route.js';
import {createRunRegistry} from '../_lib/run-registry.js';
import {type CallerLimits, type ServeServices} from '../_lib/serve-types.js';
import {createTally} from '../_lib/tally.js';

const gateTickMs = 50;
/** A caller's going is noticed by the claims at this interval, after their own second of patience. */
const claimsTickMs = 250;
const pauseLimitMs = 2000;
const accountLimit = 2000;
const cancelSettleMs = 2000;

export type EntryOptions = {
	settings: EntrySettings;
	clock: Clock;
	random: Random;
	log: Log;
	metrics: Metrics;
	createEngine: (server: ServerEntry) => EngineClient;
	/** Greatest difference between a caller's clock and a host's; see the claims. */
	clockBoundMs?: Milliseconds;
	/** Where the view comes from; this host's agent unless a test brings its own. */
	connectView?: (options: ViewFeedOptions) => ViewFeed;
};

export type Entry = {
	callerPort: number;
	peerPort: number;
	view: () => FleetView | undefined;
	accounts: Accounts;
	/** Finishes everything in progress, then closes. */
	stop: () => Promise<void>;
	/** Ends everything in progress; returns the ids of what is abandoned. */
	abandon: () => string[];
};

function toLimits(settings: EntrySettings): CallerLimits {
	return {
		maxBodyBytes: settings.maxBodyBytes,
		bodyTimeoutMs: settings.bodyTimeout,
		writeTimeoutMs: settings.writeTimeout,
		maxPromptTokens: settings.maxPromptTokens,
		maxOutputTokens: settings.maxOutputTokens,
		maxInFlight: settings.maxInFlight,
		maxQueued: settings.maxQueued,
	};
}

function createHandlers(serve: ServeServices, clients: PlainClients): CallerHandlers {
	return {
		completion: async exchange => serveCompletion('completion', exchange, serve),
		chat: async exchange => serveCompletion('chat', exchange, serve),
		async models(exchange) {
			serveModels(exchange, serve.services.toView());
		},
		plain: async exchange => servePlain(exchange, serve, clients),
		onFault(error, exchange) {
			const reason = error instanceof Error ? error.stack ?? error.message : String(error);
			serve.log.error('request broken off by a fault of the program', {requestId: exchange.requestId, reason});
		},
	};
}

/**
 * Starts the entry.
 *
 * @param options - See {@link EntryOptions}.
 * @returns The running entry once it listens.
 */
export async function startEntry(options: EntryOptions): Promise<Entry> {
	const {settings, clock, random, log, metrics} = options;
	const {hostId: host, zone} = settings;
	let incarnation = clock.wallNow();
	let view: FleetView | undefined;
	const hello = (): PeerHello => ({
		host, zone, role: 'entry', incarnation,
	});
	const claims = createClaims({
		...(options.clockBoundMs !== undefined && {clockBoundMs: options.clockBoundMs}),
		hello,
		toAddress: () => `${settings.bind}:${peers.port}`, toView: () => view,
		clock,
		random,
		log,
		runs: {maxKeptBytes: settings.keptAnswerBytes, keptForMs: settings.keptAnswerAge},
	});
	const peers: PeerListener = await listenPeers({
		bind: settings.bind, port: settings.peerPort, hello, onCall: claims.onCall, onEvent: claims.onEvent,
	});
	const feed = (options.connectView ?? connectViewFeed)({
		agentAddress: settings.agentAddress,
		hello,
		entryAddress: `${settings.bind}:${peers.port}`,
		now: clock.now,
		random,
		onIncarnationSeen(seen) {
			// A clock that was set back would make this process look like one that died before it.
			incarnation = Math.max(incarnation, seen);
		},
		onState(state, reason) {
			log.info(`view feed ${state}`, {reason});
		},
		onView(next) {
			const isFirst = view?.accepted === undefined;
			view = next;
			run.services.gate.setView(next);
			if (next.accepted !== undefined) {
				run.noteConfig(next.accepted.config);
				clients.keepOnly(new Set(next.accepted.config.servers.map(server => server.id)));
				if (isFirst) {
					void claims.takeOver();
					log.info('configuration in force', {edition: next.accepted.version.edition});
				}
			}
		},
	});
	const counters = createTally(metrics);
	const engines = createEngines(options.createEngine);
	const clients = createPlainClients({connectTimeoutMs: settings.engineConnectTimeout});
	const registry = createRunRegistry();
	const accounts = createAccounts({limit: accountLimit, now: clock.now, wallNow: clock.wallNow});
	const run = createRunServices({
		clock, random, zone, engines, counters, log, reservationTtlMs: settings.reservationTtl, toView: () => view, toOwner: () => ({host, incarnation}), reportLeaving: feed.reportLeaving,
	});
	const serve: ServeServices = {
		services: run.services, limits: toLimits(settings), route: createRouter(zone), accounts, registry, claims, log, onEnded: counters.noteEnded,
	};
	const callers = await startCallerServer({
		bind: settings.bind,
		port: settings.callerPort,
		maxConnections: settings.maxConnections,
		maxHeaderBytes: settings.maxHeaderBytes,
		headersTimeoutMs: settings.headerTimeout,
		keepAliveTimeoutMs: settings.keepAliveTimeout,
	}, createHandlers(serve, clients));
	const tickers = [setInterval(run.services.gate.tick, gateTickMs), setInterval(claims.tick, claimsTickMs)];
	const endPauseWatch = watchPauses({
		now: clock.now,
		limitMs: pauseLimitMs,
		onWake(gapMs) {
			counters.pauses.add({});
			const count = registry.endOverdue(clock.now());
			log.warn('woke up after a pause', {durationMs: gapMs, count});
		},
	});

	return {
		callerPort: callers.port,
		peerPort: peers.port,
		view: () => view,
		accounts,
		async stop() {
			callers.startStopping();
			await callers.close();
			await run.services.cancels.settle(cancelSettleMs);
			await claims.leave();
			claims.close();
			for (const ticker of tickers) {
				clearInterval(ticker);
			}

			endPauseWatch();
			await feed.close();
			await peers.close();
			await Promise.all([engines.close(), clients.close()]);
		},
		abandon: registry.abandon,
	};
}
