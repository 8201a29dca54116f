/** The agent's end of the view feed: sends changes of the view to the entry. */
import {type Milliseconds} from '../../ports/clock.js';
import {type AcceptedConfig} from '../../ports/config.js';
import {type Incarnation} from '../../ports/ids.js';
import {type FleetView, type HostStatus, type ServerStatus} from '../../ports/view.js';
import {type PeerConnection} from '../peer-tcp/index.js';
import {
	feedEvents, type FeedConfig, type FeedPing, type FeedUpdate,
} from './_lib/messages.js';

/** Interval at which an update is sent even without changes, so that the entry knows that its agent is alive. */
const keepAliveMs = 500;

type Subscriber = {
	connection: PeerConnection;
	ping: {at: Milliseconds; receivedAt: Milliseconds} | undefined;
	sent: FleetView | undefined;
	sentAt: Milliseconds;
	/** The last configuration that the entry confirmed to use. */
	confirmed: AcceptedConfig | undefined;
};

export type ViewPublisher = {
	/** Adds a new connection of this host's entry. */
	add: (connection: PeerConnection) => void;
	/** Handles a ping with the entry's clock; nothing is sent to the entry before its first ping. */
	notePing: (connection: PeerConnection, ping: FeedPing, now: Milliseconds) => void;
	/** Sends each connected entry the changes since its last update. Changes are found by identity, so statuses that did not change must be the same objects as before. */
	publish: (view: FleetView, incarnationFloor: Incarnation, now: Milliseconds) => void;
};

function toChanged<Key, Value>(next: ReadonlyMap<Key, Value>, prev: ReadonlyMap<Key, Value> | undefined): Value[] {
	if (next === prev) {
		return [];
	}

	const changed: Value[] = [];
	for (const [key, value] of next) {
		if (prev?.get(key) !== value) {
			changed.push(value);
		}
	}

	return changed;
}

function toRemoved<Key>(next: ReadonlyMap<Key, unknown>, prev: ReadonlyMap<Key, unknown> | undefined): Key[] {
	return prev && prev !== next ? [...prev.keys()].filter(key => !next.has(key)) : [];
}

/**
 * Selects the parts that the entry may lack. The entry uses the configuration
 * that it confirmed last, or a later one that was sent since: the last one, or an
 * earlier one if it refused the last. A part that is both in the confirmed and in
 * the last sent configuration is almost always present at the entry. If it is
 * missing after all, the entry reconnects and gets all parts.
 */
function toFeedConfig({version, text, parts}: AcceptedConfig, {sent, confirmed}: Subscriber): FeedConfig {
	if (!parts) {
		return {version, text};
	}

	const toDigests = (config: AcceptedConfig | undefined) => new Set(config?.parts?.map(({sha256}) => sha256));
	const [last, first] = [toDigests(sent?.accepted), toDigests(confirmed)];
	const news = parts.filter(({sha256}) => !last.has(sha256) || !first.has(sha256));
	return {version, text, parts: news.map(part => ({sha256: part.sha256, text: part.text}))};
}

function toUpdate(view: FleetView, subscriber: Subscriber, now: Milliseconds): Omit<FeedUpdate, 'incarnationFloor'> {
	const {accepted} = view;
	const {sent, ping} = subscriber;
	const isNewConfig = accepted !== undefined && sent?.accepted?.version.digest !== accepted.version.digest;
	return {
		echoAt: ping?.at ?? 0,
		echoAgeMs: ping ? now - ping.receivedAt : 0,
		whole: sent === undefined,
		config: isNewConfig ? toFeedConfig(accepted, subscriber) : undefined,
		hosts: toChanged<string, HostStatus>(view.hosts, sent?.hosts),
		hostsGone: toRemoved(view.hosts, sent?.hosts),
		servers: toChanged<string, ServerStatus>(view.servers, sent?.servers).map(({id, leaving, load, loadAt, reachable, reachableAt}) => ({
			id, leaving, load, loadAgeMs: now - loadAt, reachable, reachableAgeMs: reachableAt === undefined ? undefined : now - reachableAt,
		})),
		serversGone: toRemoved(view.servers, sent?.servers),
		...(view.zones !== sent?.zones && view.zones && {zones: [...view.zones.values()].map(({at, ...summary}) => ({...summary, ageMs: now - at}))}),
		confirmedAgeMs: view.platformConfirmedAt === undefined ? undefined : now - view.platformConfirmedAt,
	};
}

function hasChanges(update: Omit<FeedUpdate, 'incarnationFloor'>): boolean {
	return update.whole
		|| update.config !== undefined
		|| update.zones !== undefined
		|| update.hosts.length + update.servers.length + update.hostsGone.length + update.serversGone.length > 0;
}

/**
 * Creates the agent's end of the feed.
 *
 * @returns See {@link ViewPublisher}.
 */
export function createViewPublisher(): ViewPublisher {
	const subscribers = new Map<PeerConnection, Subscriber>();

	return {
		add(connection) {
			subscribers.set(connection, {
				connection, ping: undefined, sent: undefined, sentAt: 0, confirmed: undefined,
			});
			void (async () => {
				await connection.closed;
				subscribers.delete(connection);
			})();
		},
		notePing(connection, {at, configVersion}, now) {
			const subscriber = subscribers.get(connection);
			if (subscriber) {
				const last = subscriber.sent?.accepted;
				subscriber.ping = {at, receivedAt: now};
				subscriber.confirmed = last && last.version.digest === configVersion?.digest ? last : subscriber.confirmed;
			}
		},
		publish(view, incarnationFloor, now) {
			for (const subscriber of subscribers.values()) {
				if (!subscriber.ping) {
					continue;
				}

				const update = toUpdate(view, subscriber, now);
				const isDue = hasChanges(update) || now - subscriber.sentAt >= keepAliveMs;
				// An update that was dropped is contained in the next one, because `sent` stays as it was.
				if (isDue && subscriber.connection.send(feedEvents.update, {...update, incarnationFloor} satisfies FeedUpdate)) {
					subscriber.sent = view;
					subscriber.sentAt = now;
				}
			}
		},
	};
}
