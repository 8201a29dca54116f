/**
 * An entry that needs no agent on its host: it follows a platform that publishes
 * rules and servers, and forwards requests unchanged.
 */
import {type Log} from '../../../adapters/log/index.js';
import {type Metrics} from '../../../adapters/metrics/index.js';
import {probeConnection} from '../../../adapters/probe-connection/index.js';
import {createCrashSuspects} from '../../../domain/create-crash-suspects/index.js';
import {createOrderAuthority} from '../../../domain/create-order-authority/index.js';
import {createPartQuarantine} from '../../../domain/create-part-quarantine/index.js';
import {createRequestLimits} from '../../../domain/create-request-limits/index.js';
import {type ServerHealthOptions} from '../../../domain/create-server-health/index.js';
import {toRetryShare} from '../../../domain/to-retry-share/index.js';
import {type Clock, type Milliseconds, type Random} from '../../../ports/clock.js';
import {type PublishedSource} from '../../../ports/published.js';
import {type RelaySettings, toZones} from '../../_settings/index.js';
import {type ProgramKeys} from '../../_operations/index.js';
import {
	abortSettleMs, startEntry, type Entry, type EntryOptions,
} from '../../entry/start-entry/index.js';
import {type FleetLink, type JoinOptions} from '../../entry/_lib/join-fleet.js';
import {followPublished} from '../../entry/follow-published/index.js';
import {askOrigins} from '../ask-origins/index.js';
import {askPlaces} from '../ask-places/index.js';
import {askQuotas} from '../ask-quotas/index.js';
import {awaitCatchUp} from '../await-catch-up/index.js';
import {shareRetries} from '../share-retries/index.js';
import {watchLinks, type LinkWatch} from '../watch-links/index.js';
import {addRelayMetrics} from './_lib/add-relay-metrics.js';
import {createLostServers} from './_lib/create-lost-servers.js';
import {createUnusedEngine} from './_lib/create-unused-engine.js';
import {openLoadSharing} from './_lib/open-load-sharing.js';
import {withRoles} from './_lib/with-roles.js';

export type RelayOptions = Pick<EntryOptions, 'createCalls' | 'callers'> & {
	settings: RelaySettings;
	clock: Clock;
	random: Random;
	log: Log;
	metrics: Metrics;
	keys: ProgramKeys | undefined;
	source: PublishedSource;
	/** Reads the control address of the host that gives orders, by the settings in force; `settings` have it by default. */
	readOrdersFrom?: () => string | undefined;
};

/**
 * Time at the start of a planned stop in which connections are still accepted: the
 * load balancer checks readiness every second and acts on the second refusal.
 */
const drainDelayMs: Milliseconds = 2500;

/**
 * A server that refuses connections is ejected after one attempt, and a server that
 * breaks calls off after two. A crashed server comes back under a new name, so
 * ejecting the old name loses nothing; without ejection, each request of a burst
 * would pay for another failed attempt. The first ejection is short, as a lost
 * packet looks the same as a crash.
 */
const relayHealth: ServerHealthOptions = {failuresToEject: 1.5, ejectMs: 1500};

/** Part of the stop's time limit reserved for closing and for the last log lines. */
const closeMarginMs: Milliseconds = 500;

/** Time for requests in progress if the stop's time limit leaves less. */
const minDrainMs: Milliseconds = 500;

function toPort(address: string): number {
	return Number(address.slice(address.lastIndexOf(':') + 1));
}

/** Lets hosts pass requests on to each other. They do so in plain text, so not where callers use TLS. */
function toPassing({settings: {peerAddress}, keys}: RelayOptions, links: LinkWatch): Pick<EntryOptions, 'reach' | 'peerListener'> {
	return peerAddress === undefined || keys?.caller !== undefined
		? {}
		: {reach: links, peerListener: {bind: peerAddress.slice(0, peerAddress.lastIndexOf(':')), port: toPort(peerAddress)}};
}

/**
 * Starts the relay.
 *
 * @param options - See {@link RelayOptions}.
 * @returns The running entry, once it listens.
 */
export async function startRelay(options: RelayOptions): Promise<Entry> {
	const {
		settings, clock, random, log, source,
	} = options;
	const startedAt = clock.now();
	const incarnation = clock.wallNow();
	let toView: FleetLink['toView'] = () => undefined;
	const suspects = createCrashSuspects({
		toVersion: server => toView()?.accepted?.config.servers.find(({id}) => id === server)?.softwareVersion,
	});
	let isFirstFor: (key: string) => boolean = () => true;
	const partQuarantine = createPartQuarantine({isPicked: key => isFirstFor(key)});
	const links = watchLinks({
		clock, random, log, toView: () => toView(), probe: probeConnection,
	});
	const requestLimits = createRequestLimits();
	const orderAuthority = createOrderAuthority({
		self: settings.peerAddress ?? settings.callerAddress,
		onYield(address) {
			log.info('another host gives orders to servers now', {peerAddress: address});
		},
	});
	const loadSharing = await openLoadSharing({
		settings, clock, log, suspects, partQuarantine, requestLimits, links, orderAuthority,
	}, incarnation);
	isFirstFor = loadSharing?.isFirstFor ?? isFirstFor;
	let isConnected = () => false;
	let answerAgeMs: () => Milliseconds | undefined = () => undefined;
	const relayMetrics = addRelayMetrics(options.metrics, {countHosts: () => loadSharing?.countHosts() ?? 1, answerAgeMs: () => answerAgeMs(), lostPools: () => links.lostPools().length});

	const onServerLost = createLostServers({
		suspects, partQuarantine, clock, log, isZoneSilent: (zone, now) => loadSharing?.isZoneSilent(zone, now) === true,
	});

	async function join({onView}: JoinOptions): Promise<FleetLink> {
		const follower = followPublished({
			source, zones: toZones(settings.zones), clock, random, log, onView, onServerLost, onServerLeft: onServerLost, onReset: relayMetrics.noteReset, actWithinMs: Math.min(settings.rulesWithin, settings.leaveWithin),
		});
		// While the platform's content may be older than what this host knows, roles must not be changed.
		isConnected = () => follower.isConnected() && !follower.isReset();
		answerAgeMs = follower.platformAnswerAgeMs;
		toView = follower.toView;
		return {
			peerPort: 0,
			toView: follower.toView,
			toOwner: () => ({host: settings.hostId, incarnation}),
			isConnected: follower.isConnected,
			reportLeaving: follower.noteLeaving,
			reportStopping: () => undefined,
			leave: follower.stop,
		};
	}

	const retryShare = toRetryShare(settings, loadSharing === undefined ? () => 1 : loadSharing.countSharers, {startedAt, isShared: loadSharing !== undefined});
	const quotas = loadSharing && askQuotas(loadSharing.quotas, clock);
	const entry = await startEntry({
		...options,
		settings: {
			...settings,
			callerPort: toPort(settings.callerAddress),
			operatorPort: toPort(settings.operatorAddress),
			operatorBind: undefined,
			drainDelay: drainDelayMs,
			drainTimeout: Math.max(minDrainMs, settings.stopLimit - drainDelayMs - abortSettleMs - closeMarginMs),
			retryBudget: 0,
		},
		join,
		retryBudget: retryShare,
		serverIdleMs: settings.serverIdle,
		health: relayHealth,
		createEngine: createUnusedEngine,
		suspects,
		partQuarantine,
		requestLimits,
		...(loadSharing && {
			loadSharing, ...toPassing(options, links), places: askPlaces(loadSharing.places, clock), streamOrigins: askOrigins(loadSharing.origins, clock), untilCaughtUp: awaitCatchUp(loadSharing.catchUp, clock),
		}),
		...(quotas && {quotas, sharedRetries: shareRetries({toPart: retryShare.toSharedPart}, quotas, clock)}),
	});
	const sharing: Entry = {
		...entry,
		async stop() {
			await entry.stop();
			await loadSharing?.close();
		},
	};
	return withRoles(sharing, {...options, orderAuthority, isConnected: () => isConnected() && loadSharing?.isOutOfTouch() !== true});
}
