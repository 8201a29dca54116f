/** Connects the entry to its agent and to the entries of other hosts. */
import {type Log} from '../../../adapters/log/index.js';
import {listenPeers, type PeerHello, type PeerListener} from '../../../adapters/peer-tcp/index.js';
import {connectViewFeed, type ViewFeed, type ViewFeedOptions} from '../../../adapters/view-feed/index.js';
import {type Clock, type Milliseconds, type Random} from '../../../ports/clock.js';
import {type Owner} from '../../../ports/ids.js';
import {type FleetView} from '../../../ports/view.js';
import {type ProgramKeys} from '../../_operations/index.js';
import {type EntrySettings} from '../../_settings/index.js';
import {createClaims, type Claims} from '../claims/index.js';

/** Interval at which the claims look for answers that nobody reads any more; they wait one second more before they act. */
const claimsTickMs = 250;

export type JoinFleetOptions = {
	settings: EntrySettings;
	clock: Clock;
	random: Random;
	log: Log;
	keys?: ProgramKeys | undefined;
	clockBoundMs?: Milliseconds | undefined;
	connectView?: ((options: ViewFeedOptions) => ViewFeed) | undefined;
} & JoinOptions;

export type JoinOptions = {
	/** Called with each new view. */
	onView: (view: FleetView) => void;
};

export type FleetLink = {
	/** Port for entries of other hosts; 0 if the entry accepts no calls from them. */
	peerPort: number;
	/** Absent where idempotency keys are not supported. */
	claims?: Claims;
	toView: () => FleetView | undefined;
	toOwner: () => Owner;
	isConnected: () => boolean;
	reportLeaving: ViewFeed['reportLeaving'];
	reportStopping: ViewFeed['reportStopping'];
	/** Hands the claims over to a peer and closes all connections; to be called when all requests have ended. */
	leave: () => Promise<void>;
};

/**
 * Opens the peer port and connects to the agent.
 *
 * @param options - Settings, clocks, keys, and the callback for views.
 * @returns The link, once the peer port listens.
 */
export async function joinFleet(options: JoinFleetOptions): Promise<FleetLink> {
	const {
		settings, clock, random, log, keys, onView,
	} = options;
	const {hostId: host, zone} = settings;
	let incarnation = clock.wallNow();
	let view: FleetView | undefined;
	const hello = (): PeerHello => ({
		host, zone, role: 'entry', incarnation,
	});
	const tls = keys?.peer && {tls: keys.peer};
	const claims = createClaims({
		...tls,
		...(options.clockBoundMs !== undefined && {clockBoundMs: options.clockBoundMs}),
		hello,
		toAddress: () => `${settings.bind}:${peers.port}`,
		toView: () => view,
		clock,
		random,
		log,
		runs: {maxKeptBytes: settings.keptAnswerBytes, answerRetentionMs: settings.keptAnswerAge},
	});
	const peers: PeerListener = await listenPeers({
		...tls, bind: settings.bind, port: settings.peerPort, hello, onCall: claims.onCall, onEvent: claims.onEvent,
	});
	keys?.onPeerKeys(peers.reloadKeys);
	const feed = (options.connectView ?? connectViewFeed)({
		...tls,
		agentAddress: settings.agentAddress,
		hello,
		entryAddress: `${settings.bind}:${peers.port}`,
		now: clock.now,
		random,
		onIncarnationSeen(minIncarnation) {
			// If the clock was set back, this process may start with the incarnation of an earlier, dead process. The agent
			// would take this entry's reservations for those of the dead one and release them. It therefore sends an
			// incarnation that is higher than all earlier ones.
			incarnation = Math.max(incarnation, minIncarnation);
		},
		onState(state, reason) {
			log.info(`view feed ${state}`, {reason});
		},
		onView(next) {
			const isFirst = view?.accepted === undefined && next.accepted !== undefined;
			if (next.accepted !== undefined && next.accepted.config !== view?.accepted?.config) {
				log.info('configuration in force', {edition: next.accepted.version.edition, revision: next.accepted.version.revision});
			}

			view = next;
			onView(next);
			if (isFirst) {
				void claims.takeOver();
			}
		},
	});
	const ticker = setInterval(claims.tick, claimsTickMs);

	return {
		peerPort: peers.port,
		claims,
		toView: () => view,
		toOwner: () => ({host, incarnation}),
		isConnected: feed.isConnected,
		reportLeaving: feed.reportLeaving,
		reportStopping: feed.reportStopping,
		async leave() {
			await claims.leave();
			clearInterval(ticker);
			claims.close();
			await feed.close();
			await peers.close();
		},
	};
}
