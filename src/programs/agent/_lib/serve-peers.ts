/** Dispatches calls and events from agents of other hosts and from this host's entry to the parts of the agent. */
import {type PeerConnection, type PeerHello} from '../../../adapters/peer-tcp/index.js';
import {
	feedConfigCall, feedEvents, type FeedConfig, type FeedLeaving, type FeedPing, type ViewPublisher,
} from '../../../adapters/view-feed/index.js';
import {isRecord} from '../../../_lib/is-record/index.js';
import {type Membership} from '../../../domain/create-membership/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type HostId} from '../../../ports/ids.js';
import {type Mesh} from './create-mesh.js';
import {type EntryFollower} from './follow-entry.js';
import {type Documents} from './keep-documents.js';
import {type PauseTracker} from './create-pause-tracker.js';
import {
	isKnownVersions, isMemberEvent, peerCalls, peerEvents, type HostVersions,
} from './peer-messages.js';
import {type LoadsTask} from './spread-loads.js';
import {type SummariesTask} from './spread-summaries.js';
import {type PeerNotifier} from './create-peer-notifier.js';

const configTimeoutMs = 3000;

export type ServePeersOptions = {
	hostId: HostId;
	membership: Membership;
	mesh: Mesh;
	notifier: PeerNotifier;
	documents: Documents;
	loads: LoadsTask;
	summaries: SummariesTask;
	entry: EntryFollower;
	publisher: ViewPublisher;
	/** Pushes the current view to the entry. */
	publish: () => void;
	pauses: PauseTracker;
	now: () => Milliseconds;
};

export type PeerService = {
	onCall: (peer: PeerHello, method: string, body: unknown) => Promise<unknown>;
	onEvent: (peer: PeerHello, name: string, body: unknown, connection?: PeerConnection) => void;
	onConnect: (connection: PeerConnection) => void;
};

/**
 * Creates the handlers.
 *
 * @param options - Parts of the agent that handle the messages.
 * @returns Handlers for incoming and outgoing connections.
 */
export function servePeers(options: ServePeersOptions): PeerService {
	const {hostId, membership, mesh, notifier, documents, loads, summaries, entry, publisher, publish, pauses, now} = options;

	/** Fetches the configuration that this host's entry holds, if it is newer than the agent's; a restarted agent recovers its configuration this way. */
	async function offerEntryConfig(connection: PeerConnection, {configVersion}: FeedPing) {
		if (!documents.isNewer(configVersion)) {
			return;
		}

		const reply = await connection.call(feedConfigCall, {}, {timeoutMs: configTimeoutMs});
		const held = reply.unwrapOr(undefined) as FeedConfig | undefined;
		if (held) {
			const texts = new Map(held.parts?.map(({sha256, text}) => [sha256, text]));
			documents.offerFromEntry({text: held.text, revision: held.version.revision, findPart: ({sha256}) => texts.get(sha256)});
		}
	}

	function handleEntryEvent(connection: PeerConnection | undefined, name: string, body: unknown) {
		if (connection?.peer.host !== hostId || !isRecord(body)) {
			return;
		}

		if (name === feedEvents.ping) {
			const ping = body as FeedPing;
			publisher.notePing(connection, ping, now());
			entry.notePing(connection, ping);
			void offerEntryConfig(connection, ping);
			publish();
		} else if (name === feedEvents.leaving) {
			loads.noteLeaving([(body as FeedLeaving).server], hostId);
		}
	}

	return {
		async onCall({role}, method, body) {
			const kind = isRecord(body) ? body.kind : undefined;
			if (role === 'agent' && method === peerCalls.reports) {
				return loads.serveReports(body);
			}

			if (role === 'agent' && (kind === 'config' || kind === 'fleet') && (method === peerCalls.manifest || method === peerCalls.chunks)) {
				return documents.serve(kind, method, body);
			}

			if (role === 'agent' && method === peerCalls.versions) {
				return {host: hostId, ...documents.versions()} satisfies HostVersions;
			}

			throw new Error(`no method ${method} for an ${role}`);
		},
		onEvent(peer, name, body, connection) {
			pauses.check();
			if (peer.role === 'entry') {
				handleEntryEvent(connection, name, body);
			} else if (name === peerEvents.member && isMemberEvent(body)) {
				if (body.versions) {
					documents.receiveVersions(peer.host, body.versions);
				}

				if (body.summaries instanceof Uint8Array) {
					summaries.handlePiggybackedSummary(body.summaries);
				}

				notifier.sendMessages(membership.receive(body.message, peer.host, now()));
			} else if (name === peerEvents.versions && isKnownVersions(body)) {
				documents.receiveVersions(peer.host, body);
			} else if (!summaries.handleEvent(name, body)) {
				loads.handleEvent(peer.host, name, body);
			}
		},
		onConnect(connection) {
			const {host, role} = connection.peer;
			if (role === 'agent' && host !== hostId) {
				mesh.addConnection(connection);
			} else if (role === 'entry' && host === hostId) {
				publisher.add(connection);
				entry.add(connection);
			}
		},
	};
}
