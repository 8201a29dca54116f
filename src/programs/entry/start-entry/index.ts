/**
 * The entry, which accepts callers' requests and answers each of them. Connections
 * to the outside are passed in or listen on the given ports.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type CallerHandlers, type CallerServer, startCallerServer} from '../../../adapters/caller-http/index.js';
import {createNativeCalls} from '../../../adapters/native-calls/index.js';
import {createRunDurations} from '../../../domain/create-run-durations/index.js';
import {createCrashSuspects} from '../../../domain/create-crash-suspects/index.js';
import {createRecentIds} from '../../../domain/create-recent-ids/index.js';
import {createPartQuarantine} from '../../../domain/create-part-quarantine/index.js';
import {createRequestLimits} from '../../../domain/create-request-limits/index.js';
import {createSloLedger} from '../../../domain/create-slo-ledger/index.js';
import {type CallerBounds, type ServerEntry} from '../../../ports/config.js';
import {type AnswerHeaders} from '../../../ports/server-calls.js';
import {createEngines} from '../../_engines/index.js';
import {reportSlo, startOperations, toSloSample} from '../../_operations/index.js';
import {createAccounts} from '../accounts/index.js';
import {createServerLimits} from '../server-limits/index.js';
import {startTicker} from '../start-ticker/index.js';
import {watchPauses} from '../watch-pauses/index.js';
import {createLocalQuotas} from '../_lib/create-local-quotas.js';
import {noteStatedLimit} from '../_lib/note-stated-limit.js';
import {createNoticeHandler} from '../_lib/create-notice-handler.js';
import {createRunServices} from '../_lib/create-run-services.js';
import {type FleetLink} from '../_lib/join-fleet.js';
import {createPlainClients} from '../_lib/plain-clients.js';
import {createStopDeadline} from '../_lib/create-stop-deadline.js';
import {createRouter} from '../_lib/route.js';
import {createRunRegistry} from '../_lib/run-registry.js';
import {type ServeContext} from '../_lib/serve-types.js';
import {createEntryMetrics} from '../_lib/create-entry-metrics.js';
import {toEntryStatus} from '../_lib/to-entry-status.js';
import {cancelSettleMs, drain, settle} from './_lib/drain.js';
import {joinCallerServers} from './_lib/join-caller-servers.js';
import {listenForPeers} from './_lib/listen-for-peers.js';
import {toConnectionBounds} from './_lib/to-connection-bounds.js';
import {toLimits} from './_lib/to-limits.js';
import {createCallerWaits} from './_lib/create-caller-waits.js';
import {createHandlers} from './_lib/create-handlers.js';
import {createReadiness} from './_lib/create-readiness.js';
import {
	type CallerWaits, type Entry, type EntryOptions,
} from './_lib/types.js';

export {abortSettleMs} from './_lib/drain.js';
export type * from './_lib/types.js';

/** Interval at which waiting requests look for a free slot at a full pool. A request has about 600 ms to find one within its target, and must find it before later requests do. */
const gateTickMs = 20;
/** Tick interval without requests. Only load reports to other hosts and changes of the platform are due then, for which half a second is precise enough. */
const idleTickMs = 250;
const pauseThresholdMs = 2000;
const maxAccounts = 2000;
const operatorCloseTimeoutMs = 500;
/** Number of granted reservations that are kept; a copy of a grant comes within a few calls. */
const maxGranted = 4096;

async function listenForCallers(options: EntryOptions, handlers: CallerHandlers, waits: CallerWaits): Promise<CallerServer> {
	const {settings, keys, clock} = options;
	const callers = await startCallerServer({
		...waits,
		now: clock.now,
		bind: settings.bind,
		port: settings.callerPort,
		maxConnections: settings.maxConnections,
		...toConnectionBounds(settings),
		writeTimeoutMs: settings.writeTimeout,
		tls: keys?.caller?.current(),
		...options.callers,
	}, handlers);
	keys?.caller?.listen(event => {
		if (event.kind === 'reloaded') {
			callers.renewTls(keys.caller!.current());
		}
	});
	return callers;
}

type EntryParts = {
	options: EntryOptions;
	link: FleetLink;
	ctx: ServeContext;
	callers: CallerServer;
	counters: ReturnType<typeof createEntryMetrics>;
	toIsStopping: () => boolean;
};

async function listenForOperators(parts: EntryParts, burn: ReturnType<typeof reportSlo>) {
	const {
		options, link, ctx, callers, counters, toIsStopping,
	} = parts;
	const {services, registry, accounts} = ctx;
	counters.sample({
		inProgress: registry.size,
		waiting: services.gate.waiting,
		openAnswers: callers.openExchanges,
		unstarted: callers.unstarted,
		cancelsPending: services.cancels.pending,
		quarantined: () => ctx.suspects.count(options.clock.now()).quarantined,
		quarantinedParts: () => ctx.partQuarantine.count(options.clock.now()),
	});
	const started = await startOperations({
		settings: options.settings,
		log: options.log,
		metrics: options.metrics,
		keys: options.keys,
		notReadyReasons: createReadiness({
			link, services, log: options.log, isIsolated: options.loadSharing?.isIsolated, isStopping: toIsStopping,
		}),
		status: () => toEntryStatus({
			link, services, registry, isStopping: toIsStopping(), openConnections: callers.connections(),
		}, options.clock.now()),
		explain: accounts.findAccount,
		...burn,
	});
	if (started.isErr()) {
		throw new Error(started.error.message);
	}

	return started.value;
}

/**
 * Starts the entry.
 *
 * @param options - See {@link EntryOptions}.
 * @returns The running entry once it listens.
 */
export async function startEntry(options: EntryOptions): Promise<Entry> {
	const {
		settings, clock, random, log, metrics, suspects = createCrashSuspects(), partQuarantine = createPartQuarantine(),
	} = options;
	let isStopping = false;
	const counters = createEntryMetrics(metrics);
	const ledger = createSloLedger({host: settings.hostId});
	const engines = createEngines(server => options.createEngine(server, {onDropped: counters.countDroppedTokens}));
	const clients = createPlainClients({connectTimeoutMs: settings.engineConnectTimeout, ...(options.serverIdleMs !== undefined && {idleMs: options.serverIdleMs})});
	const peerClients = createPlainClients({connectTimeoutMs: settings.engineConnectTimeout});
	const registry = createRunRegistry();
	const accounts = createAccounts({limit: maxAccounts, now: clock.now, wallNow: clock.wallNow});
	const run = createRunServices({
		clock,
		random,
		host: settings.hostId,
		zone: settings.zone,
		engines,
		counters,
		log,
		reservationTtlMs: settings.reservationTtl,
		retryBudget: {capacity: settings.retryBudget, ...options.retryBudget},
		sharedRetries: options.sharedRetries,
		health: options.health,
		shared: options.loadSharing,
		toView: () => link.toView(),
		toOwner: () => link.toOwner(),
		reportLeaving(server) {
			link.reportLeaving(server);
		},
	});
	const limits = toLimits(settings);
	/** Set once the callers' port is open; views may arrive earlier. */
	const opened: {callers?: CallerServer} = {};
	const applyBounds = (bounds: CallerBounds = {}): void => {
		limits.maxBodyBytes = bounds.maxBodyBytes ?? settings.maxBodyBytes;
		opened.callers?.setBounds(toConnectionBounds(settings, bounds));
	};

	const link: FleetLink = await options.join({
		onView(view) {
			run.services.gate.setView(view);
			if (view.accepted !== undefined) {
				run.applyConfig(view.accepted.config);
				clients.keepOnly(new Set(view.accepted.config.servers.map(server => server.id)));
				applyBounds(view.accepted.config.callers);
			}
		},
	});
	const handleNotice = createNoticeHandler({
		log,
		reportLeaving(server) {
			link.reportLeaving(server);
		},
		notePause: (server, pauseMs) => run.services.placement.notePause(server, pauseMs, clock.now()),
	});
	const quotas = options.quotas ?? createLocalQuotas({clock, countHosts: () => link.toView()?.accepted?.config.hosts.length ?? 1});
	const serverLimits = createServerLimits({
		limits: options.requestLimits ?? createRequestLimits(),
		quotas,
		clock,
		log,
		noteLimited(server, limitedMs) {
			run.services.placement.noteLimited(server, limitedMs, clock.now());
		},
		countHeldBack: counters.countHeldBack,
	});
	const ctx: ServeContext = {
		services: run.services,
		limits,
		route: createRouter(settings.zone, {isBehind: () => !link.isConnected()}),
		accounts,
		registry,
		claims: link.claims,
		calls: options.createCalls?.(clients.toDispatcher, {onNotice: handleNotice, onCall: noteCall, granted: createRecentIds({limit: maxGranted})}) ?? createNativeCalls({toView: () => link.toView()}),
		handleNotice,
		places: options.places,
		reach: options.reach,
		toPeerDispatcher: address => peerClients.toDispatcher({id: address}),
		countOverLimit: counters.countOverLimit,
		countPassedOn: counters.countPassedOn,
		streamOrigins: options.streamOrigins,
		countStream: counters.countStream,
		quotas,
		serverLimits,
		suspects,
		partQuarantine,
		stopDeadline: createStopDeadline(),
		runDurations: createRunDurations(),
		untilCaughtUp: options.untilCaughtUp,
		log,
		onEnded(ended) {
			counters.recordEndedRequest(ended);
			ledger.addSample(toSloSample(ended), clock.now());
		},
	};
	function noteCall(server: ServerEntry) {
		const calledAt = clock.now();
		return (status: number, headers: AnswerHeaders): void => {
			noteStatedLimit(ctx, server, {status, headers, calledAt});
		};
	}

	const ticker = startTicker({
		tick() {
			run.services.gate.tick();
			options.loadSharing?.tick(run.services.placement.ownLoads());
			options.reach?.tick();
		},
		isBusy: () => registry.size() > 0,
		busyMs: gateTickMs,
		idleMs: idleTickMs,
	});
	const handlers = createHandlers(ctx, clients, ticker);
	const waits = createCallerWaits({
		calls: ctx.calls, clock, log, countLeft: counters.countLeftUnstarted,
	});
	// A port that is closed sends callers to hosts that know more; requests that wait here would all be sent at once.
	await options.untilCaughtUp?.();
	const callers = joinCallerServers(await listenForCallers(options, handlers, waits), await listenForPeers(options, handlers, waits));
	opened.callers = callers;
	applyBounds(link.toView()?.accepted?.config.callers);

	const parts: EntryParts = {
		options, link, ctx, callers, counters, toIsStopping: () => isStopping,
	};
	const operators = await listenForOperators(parts, reportSlo(ledger, clock, metrics));
	const stopPauseWatch = watchPauses({
		now: clock.now,
		limitMs: pauseThresholdMs,
		onWake(gapMs) {
			counters.pauses.add({});
			log.warn('woke up after a pause', {durationMs: gapMs, count: registry.endOverdue(clock.now())});
		},
		onLate(delayMs) {
			counters.loopDelay.add({}, delayMs);
			log.info('the event loop was late', {durationMs: Math.round(delayMs), count: registry.size()});
		},
	});

	return {
		callerPort: callers.port,
		peerPort: link.peerPort,
		operatorPort: operators.port,
		view: link.toView,
		accounts,
		toPrefillShare: run.services.placement.toPrefillShare,
		handleNotice,
		async stop() {
			isStopping = true;
			ctx.stopDeadline.begin(clock.now() + settings.drainDelay + settings.drainTimeout);
			callers.startStopping();
			link.reportStopping();
			await sleep(settings.drainDelay);
			await drain(parts, settings.drainTimeout);
			await run.services.cancels.settle(cancelSettleMs);
			run.services.cancels.stop();
			await link.leave();
			ticker.stop();
			stopPauseWatch();
			await Promise.all([engines.close(), clients.close(), peerClients.close(), operators.close(operatorCloseTimeoutMs)]);
		},
		async abandon() {
			const left = registry.abandon();
			await settle(ctx);
			return left;
		},
	};
}
