/**
 * The entry's view of the fleet, fed by its host's agent over the peer
 * protocol.
 */
import {waitFor} from '../../_lib/wait-for/index.js';
import {type Milliseconds, type Random} from '../../ports/clock.js';
import {type Incarnation, type ServerId} from '../../ports/ids.js';
import {type FleetView} from '../../ports/view.js';
import {
	connectPeer, type PeerConnection, type PeerHello, type PeerKeys,
} from '../peer-tcp/index.js';
import {createConfigReader} from '../../domain/parse-config/index.js';
import {compareConfigVersions} from '../../domain/compare-config-versions/index.js';
import {
	applyUpdate, emptyView, type ApplyOptions, type FedView,
} from './_lib/apply-update.js';
import {
	feedConfigCall, feedEvents, type FeedConfig, type FeedPing, type FeedUpdate,
} from './_lib/messages.js';

export {createViewPublisher, type ViewPublisher} from './publish-view.js';
export {
	feedConfigCall, feedEvents, type FeedConfig, type FeedLeaving, type FeedPing, type FeedUpdate,
} from './_lib/messages.js';

const pingIntervalMs = 1000;
const firstBackoffMs = 50;
const maxBackoffMs = 2000;

export type ViewFeedOptions = Partial<ApplyOptions> & {
	/** `IP:port` of the agent's peer port. */
	agentAddress: string;
	hello: PeerHello | (() => PeerHello);
	/** `IP:port` of the entry's own peer port, for the agent to tell peers. */
	entryAddress: string;
	/** Called with each new view; never with an older one than before. */
	onView: (view: FleetView) => void;
	/** Least incarnation that this entry may use, above those of the entries before it; 0 when any will do. */
	onIncarnationSeen?: (incarnation: Incarnation) => void;
	/** The connection was made, lost, or could not be made, with the reason. */
	onState?: (state: 'connected' | 'disconnected', reason: string) => void;
	/** Monotonic milliseconds. */
	now: () => Milliseconds;
	random: Random;
	tls?: () => PeerKeys;
};

export type ViewFeed = {
	/** The last view; empty until the first. */
	view: () => FleetView;
	isConnected: () => boolean;
	/** Tells the agent, and through it the fleet, that a server refused with `leaving`. */
	reportLeaving: (server: ServerId) => void;
	/** Tells the agent, and through it the fleet, that this entry takes nothing new any more. */
	reportStopping: () => void;
	close: () => Promise<void>;
};

/**
 * Connects to the agent and stays connected until closed. While the agent is
 * away the last view stays, and its `receivedAt` tells how old it is.
 *
 * @param options - See {@link ViewFeedOptions}.
 * @returns The feed at once; it connects in the background.
 */
export function connectViewFeed(options: ViewFeedOptions): ViewFeed {
	const {now, random} = options;
	const applyOptions: ApplyOptions = {
		parse: createConfigReader(),
		isNewer: (candidate, current) => compareConfigVersions(candidate, current) > 0,
		// The first update of a connection has all parts.
		onMissingPart() {
			current?.close();
		},
		...options,
	};
	const stop = new AbortController();
	let view: FedView = emptyView;
	let current: PeerConnection | undefined;
	let backoffMs = firstBackoffMs;
	let isStopping = false;

	function toHello(): PeerHello {
		return typeof options.hello === 'function' ? options.hello() : options.hello;
	}

	function handleUpdate(update: FeedUpdate) {
		view = applyUpdate(view, update, applyOptions);
		backoffMs = firstBackoffMs;
		options.onIncarnationSeen?.(update.incarnationFloor);
		options.onView(view);
	}

	async function onCall(_peer: PeerHello, method: string): Promise<FeedConfig | undefined> {
		if (method !== feedConfigCall) {
			throw new Error(`unknown method ${method}`);
		}

		const {accepted} = view;
		return accepted && {
			version: accepted.version, text: accepted.text, ...(accepted.parts && {parts: accepted.parts.map(({sha256, text}) => ({sha256, text}))}),
		};
	}

	function onEvent(_peer: PeerHello, name: string, body: unknown) {
		if (name === feedEvents.update) {
			handleUpdate(body as FeedUpdate);
		}
	}

	function ping(connection: PeerConnection) {
		connection.send(feedEvents.ping, {
			at: now(), entryAddress: options.entryAddress, incarnation: toHello().incarnation, configVersion: view.accepted?.version, stopping: isStopping,
		} satisfies FeedPing);
	}

	async function serve(connection: PeerConnection) {
		current = connection;
		options.onState?.('connected', `agent of ${connection.peer.host}`);
		ping(connection);
		const timer = setInterval(ping, pingIntervalMs, connection);
		const reason = await connection.closed;
		clearInterval(timer);
		current = undefined;
		options.onState?.('disconnected', reason);
	}

	async function run() {
		// Told once for each new reason: an entry with wrong keys or a wrong address would else just never be ready.
		let reportedReason: string | undefined;
		while (!stop.signal.aborted) {
			const connected = await connectPeer({
				address: options.agentAddress,
				hello: options.hello,
				tls: options.tls,
				onCall,
				onEvent,
			});
			if (connected.isOk() && !stop.signal.aborted) {
				reportedReason = undefined;
				await serve(connected.value);
			} else if (connected.isOk()) {
				connected.value.close();
			} else if (connected.error.message !== reportedReason) {
				reportedReason = connected.error.message;
				options.onState?.('disconnected', reportedReason);
			}

			// Half of the wait is random, so that entries do not come back together.
			await waitFor(backoffMs * (0.5 + (random() / 2)), stop.signal);
			backoffMs = Math.min(backoffMs * 2, maxBackoffMs);
		}
	}

	const running = run();

	return {
		view: () => view,
		isConnected: () => current !== undefined,
		reportLeaving(server) {
			current?.send(feedEvents.leaving, {server});
		},
		reportStopping() {
			isStopping = true;
			if (current) {
				ping(current);
			}
		},
		async close() {
			stop.abort();
			current?.close();
			await running;
		},
	};
}
