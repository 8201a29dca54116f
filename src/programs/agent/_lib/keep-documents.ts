/**
 * Keeps the platform's two documents: judges what the platform, peers and this
 * host's entry offer, tells peers of what is new, and fetches what they have newer.
 */
import {compareConfigVersions} from '../../../domain/compare-config-versions/index.js';
import {type FleetTable} from '../../../domain/create-fleet-table/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type ConfigVersion} from '../../../ports/config.js';
import {type HostId} from '../../../ports/ids.js';
import {type FleetList, type PlatformFailure, type PlatformValue} from '../../../ports/platform.js';
import {msPerSecond} from '../../../ports/units.js';
import {type AgentOptions} from './agent-types.js';
import {type ValueVerdict} from './create-reread-schedule.js';
import {createDocumentStore, type ConfigOfferResult, type DocumentNotices} from './create-document-store.js';
import {createNewestReportedVersion} from './create-newest-reported-version.js';
import {type KnownVersions} from './peer-messages.js';
import {type PauseTracker} from './create-pause-tracker.js';
import {createPartReader} from './read-parts.js';
import {type DocumentKind, type OfferedDocument} from './fetch-document.js';
import {spreadDocument, type DocumentSpread, type SpreadDocumentOptions} from './spread-document.js';
import {watchPlatform} from './watch-platform.js';

/** Time in which a starting agent learns from its peers, before it listens to a platform that may be stale. */
const peerWaitMs: Milliseconds = 3 * msPerSecond;

/**
 * Time for which a starting agent that holds nothing passes over what peers
 * don't vouch for. An agent that restarted too may tell what its entry has held
 * since before a pause, and callers would see an older configuration after a
 * newer one. A peer vouches once it has heard in its life what configuration the
 * platform serves and knows of nothing newer, so in a fleet that runs nothing is
 * lost by this. Where none vouches, readers have asked the platform by then; without
 * a platform, what is there is better than nothing.
 */
const unvouchedWaitMs: Milliseconds = peerWaitMs + (2 * msPerSecond);

export type KeepDocumentsOptions = Pick<AgentOptions, 'settings' | 'platform' | 'random' | 'keepOnly' | 'log'> & {
	table: FleetTable;
	pauses: PauseTracker;
	call: SpreadDocumentOptions['call'];
	/** A document has come in force here, from that host. */
	onDocumentChange: (origin: HostId) => void;
	/** A new list of hosts and servers. */
	onFleet: (fleet: FleetList) => void;
	/** Whether it is for this host to read the platform, which was silent for so long (milliseconds). */
	isPlatformReader: (silentMs: Milliseconds) => boolean;
	counts: {platformReads: number; configsRefused: number};
	now: () => Milliseconds;
	startedAt: Milliseconds;
	signal: AbortSignal;
};

export type Documents = {
	notices: () => DocumentNotices;
	/** What this host holds, for its peers to hear. */
	versions: () => KnownVersions;
	/** A peer says what it holds. */
	receiveVersions: (from: HostId, known: KnownVersions) => void;
	/** Whether the configuration is newer than what is in force here. */
	isNewer: (version: ConfigVersion | undefined) => boolean;
	/** Whether a peer has lately named a newer configuration than the one in force here. */
	isBehind: () => boolean;
	/** Judges a configuration that this host's entry still holds. */
	offerFromEntry: (document: OfferedDocument) => void;
	/** Answers a peer's call for one of the documents. */
	serve: (kind: DocumentKind, method: string, body: unknown) => unknown;
	/** Settles once the signal has aborted. */
	done: Promise<unknown>;
};

/**
 * Starts keeping them.
 *
 * @param options - See {@link KeepDocumentsOptions}.
 * @returns See {@link Documents}.
 */
export function keepDocuments(options: KeepDocumentsOptions): Documents {
	const {settings, table, log, pauses, call, onDocumentChange, counts, now, startedAt, random, signal} = options;
	const {hostId} = settings;
	let hasHeardFromPeer = false;
	/** Whether the platform's configuration was heard of in this life, from itself or from a peer that vouches. */
	let isPlatformConfigKnown = false;
	const newest = createNewestReportedVersion();

	const held = createDocumentStore({
		table,
		log,
		onFleet: options.onFleet,
		onRefused() {
			counts.configsRefused += 1;
		},
	});

	/** Judges a document; `source` is for the log. */
	function judgeDocument(kind: DocumentKind, {text, revision, ...partOptions}: OfferedDocument, origin: HostId, source: string = origin): ConfigOfferResult {
		const offer = kind === 'config' ? held.offerConfig(text, revision, source, partOptions) : {isChanged: held.offerFleet(text, revision, source), missing: []};
		if (offer.isChanged) {
			if (kind === 'config') {
				options.keepOnly?.(new Set(table.accepted()!.config.servers.map(({id}) => id)));
			}

			onDocumentChange(origin);
		}

		return offer;
	}

	const createSpread = (kind: DocumentKind) => spreadDocument({
		kind,
		held: held[kind],
		offer: (document, from) => judgeDocument(kind, document, from).missing,
		call,
		onFailure(message, from) {
			log.debug('a document was not fetched', {kind, peer: from, reason: message});
		},
		now,
		random,
		signal,
	});
	const spreads: Readonly<Record<DocumentKind, DocumentSpread>> = {config: createSpread('config'), fleet: createSpread('fleet')};

	const confirmedAt = () => table.view(now()).platformConfirmedAt;

	/** A restarted host hears its peers first: the platform may be stale. */
	function hasHeardPeersOrWaited(): boolean {
		const isInformed = hasHeardFromPeer && !spreads.config.isBehind() && table.accepted() !== undefined;
		return isInformed || settings.seeds.length === 0 || now() - startedAt >= peerWaitMs;
	}

	const isReader = () => hasHeardPeersOrWaited() && options.isPlatformReader(now() - (confirmedAt() ?? startedAt));
	const onRead = () => {
		counts.platformReads += 1;
	};

	const onFailure = ({kind, message}: PlatformFailure) => {
		log.debug('the platform was not read', {kind, reason: message});
	};

	const partReader = createPartReader({
		platform: options.platform,
		isReader: () => isReader() && !spreads.config.isBehind(),
		isAlone: () => !hasHeardFromPeer,
		onRead,
		onFailure,
		random,
		signal,
	});

	/** Judges what the platform serves, and reads the parts of it that are not here. */
	async function takeFromPlatform(key: DocumentKind, {value: text, revision}: PlatformValue): Promise<ValueVerdict> {
		const before = held[key]();
		let offer = judgeDocument(key, {text, revision, isQuiet: true}, hostId, 'platform');
		if (offer.missing.length > 0) {
			// Once something else is in force, be it this document from a peer, the rest would be read for nothing.
			const isAnswered = await partReader.read(offer.missing, () => held[key]()?.version.digest === before?.version.digest);
			offer = judgeDocument(key, {
				text, revision, findPart: partReader.toText, isQuiet: !isAnswered,
			}, hostId, 'platform');
		}

		if (offer.missing.length > 0) {
			return 'unfinished';
		}

		if (key === 'config') {
			partReader.forget();
		}

		// The text in force under a later revision may be an old text in the place of a new one.
		const isHeld = before !== undefined && before.version.revision >= revision && (key === 'fleet' || before.text === text);
		return offer.isChanged || isHeld ? 'taken' : 'refused';
	}

	/** Whether nothing is held here, and it is too early to take what a peer can't vouch for. */
	function isUnvouched({confirmedAgeMs}: KnownVersions): boolean {
		return confirmedAgeMs === undefined && table.accepted() === undefined && now() - startedAt < unvouchedWaitMs;
	}

	async function takeFromWatch(key: DocumentKind, value: PlatformValue): Promise<ValueVerdict> {
		const taken = await takeFromPlatform(key, value);
		isPlatformConfigKnown ||= key === 'config' && taken !== 'unfinished';
		return taken;
	}

	const isBehind = () => newest.isNewerThan(spreads.config.version(), now());

	/** Age of the platform's last answer, for peers; none while something newer than what is held here is known. */
	function toVouchedAgeMs(): Milliseconds | undefined {
		const at = confirmedAt();
		return at === undefined || !isPlatformConfigKnown || isBehind() ? undefined : Math.ceil(now() - at);
	}

	const watch = async (key: DocumentKind) => watchPlatform({
		platform: options.platform,
		key,
		isReader,
		waitMs: settings.platformWait,
		onValue: async value => takeFromWatch(key, value),
		onConfirmed(askedAt) {
			table.noteConfirmed(pauses.toTrustedTime(askedAt));
		},
		onFailure,
		onRead,
		now,
		random,
		signal,
	});

	return {
		notices: held.notices,
		versions: () => ({config: spreads.config.version(), fleet: spreads.fleet.version(), confirmedAgeMs: toVouchedAgeMs()}),
		receiveVersions(from, known) {
			hasHeardFromPeer = true;
			newest.note(known.config, now());
			if (!isUnvouched(known)) {
				spreads.config.noteVersion(from, known.config);
			}

			spreads.fleet.noteVersion(from, known.fleet);
			if (known.confirmedAgeMs !== undefined) {
				isPlatformConfigKnown = true;
				table.noteConfirmed(pauses.toEarliestArrival() - known.confirmedAgeMs);
			}
		},
		isNewer(version) {
			const own = table.accepted()?.version;
			return version !== undefined && (own === undefined || compareConfigVersions(version, own) > 0);
		},
		isBehind,
		offerFromEntry(document) {
			judgeDocument('config', document, hostId, 'entry');
		},
		serve: (kind, method, body) => spreads[kind].serve(method, body),
		done: Promise.all([watch('config'), watch('fleet')]),
	};
}
