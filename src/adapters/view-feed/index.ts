/**
 * The entry's view of the fleet, which its host's agent updates over the peer
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
	applyUpdate, emptyView, type ApplyOptions, type EntryView,
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
	/** `IP:port` of the entry's own peer port, which the agent announces to peers. */
	entryAddress: string;
	/** Called with each new view, in order. */
	onView: (view: FleetView) => void;
	/** Called with the lowest incarnation that this entry may use, above those of earlier entries; 0 when any is allowed. */
	onIncarnationSeen?: (incarnation: Incarnation) => void;
	/** Called with the reason when the connection was made or lost, or could not be made. */
	onState?: (state: 'connected' | 'disconnected', reason: string) => void;
	/** Monotonic milliseconds. */
	now: () => Milliseconds;
	random: Random;
	tls?: () => PeerKeys;
};

export type ViewFeed = {
	/** The last view; empty until the first update. */
	view: () => FleetView;
	isConnected: () => boolean;
	/** Reports to the agent, and through it to the fleet, that a server refused work with `leaving`. */
	reportLeaving: (server: ServerId) => void;
	/** Reports to the agent, and through it to the fleet, that this entry accepts no new requests any more. */
	reportStopping: () => void;
	close: () => Promise<void>;
};

/**
 * Connects to the agent, and reconnects until closed. While there is no
 * connection the last view stays, and its `receivedAt` tells how old it is.
 *
 * @param options - See {@link ViewFeedOptions}.
 * @returns The feed, immediately; it connects in the background.
 */
export function connectViewFeed(options: ViewFeedOptions): ViewFeed {
	const {now, random} = options;
	const applyOptions: ApplyOptions = {
		parse: createConfigReader(),
		isNewer: (candidate, current) => compareConfigVersions(candidate, current) > 0,
		// Reconnects, because the first update of a connection contains all parts.
		onMissingPart() {
			current?.close();
		},
		...options,
	};
	const stop = new AbortController();
	let view: EntryView = emptyView;
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
		// Each new reason is reported once. Without the report, an entry with wrong keys or a wrong address would never get ready and not say why.
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

			// Half of the delay is random, so that entries do not reconnect all at once.
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
