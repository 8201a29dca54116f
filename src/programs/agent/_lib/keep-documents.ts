/**
 * Keeps the platform's two documents up to date: validates documents from the
 * platform, from peers and from this host's entry, announces new ones to peers,
 * and fetches newer ones from them.
 */
import {compareConfigVersions} from '../../../domain/compare-config-versions/index.js';
import {type FleetTable} from '../../../domain/create-fleet-table/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type ConfigVersion} from '../../../ports/config.js';
import {type HostId} from '../../../ports/ids.js';
import {type FleetList, type PlatformFailure, type PlatformValue} from '../../../ports/platform.js';
import {msPerSecond} from '../../../ports/units.js';
import {type AgentOptions} from './agent-types.js';
import {createReportComparison, type ReportComparisonOptions} from './create-report-comparison.js';
import {type ValueVerdict} from './create-reread-schedule.js';
import {createDocumentStore, type ConfigOfferResult, type DocumentNotices} from './create-document-store.js';
import {createNewestReportedVersion} from './create-newest-reported-version.js';
import {type KnownVersions} from './peer-messages.js';
import {type PauseTracker} from './create-pause-tracker.js';
import {createPartReader} from './read-parts.js';
import {type DocumentKind, type OfferedDocument} from './fetch-document.js';
import {spreadDocument, type DocumentSpread, type SpreadDocumentOptions} from './spread-document.js';
import {toReadPace} from './to-read-pace.js';
import {watchPlatform} from './watch-platform.js';

/**
 * Time for which a starting agent with seeds waits for its peers' documents before
 * it reads the platform, which may be stale, and for which it compares the versions
 * that peers vouch for before it takes one: a peer whose zone was cut off vouches for
 * the version that the platform served before.
 */
const peerWaitMs: Milliseconds = 3 * msPerSecond;

/**
 * Time for which a starting agent without a configuration ignores versions from
 * peers that do not vouch for them.
 *
 * A peer that has restarted too may offer the configuration that its entry held
 * before a pause; callers would then see an older configuration after a newer
 * one. A peer vouches (states `confirmedAgeMs`) once it has learned since its
 * start which configuration the platform serves and knows of no newer one. In a
 * running fleet some peer vouches, so ignoring the others costs nothing. Where no
 * peer vouches, the zone's readers have asked the platform by the end of this
 * time; if the platform does not answer either, an unconfirmed configuration is
 * better than none.
 */
const unvouchedWaitMs: Milliseconds = peerWaitMs + (2 * msPerSecond);

export type KeepDocumentsOptions = Pick<AgentOptions, 'settings' | 'platform' | 'random' | 'keepOnly' | 'log'> & {
	table: FleetTable;
	pauses: PauseTracker;
	call: SpreadDocumentOptions['call'];
	/** Calls the agent at an address whose host may not be known. */
	callAddress: ReportComparisonOptions['callAddress'];
	/** Called when a document has come in force here, with the host it came from. */
	onDocumentChange: (origin: HostId) => void;
	/** Called with each new list of hosts and servers. */
	onFleet: (fleet: FleetList) => void;
	/** Whether this host is one of its zone's readers when the platform was last confirmed so long ago, milliseconds. */
	isPlatformReader: (silentMs: Milliseconds) => boolean;
	counts: {platformReads: number; configsRefused: number};
	now: () => Milliseconds;
	startedAt: Milliseconds;
	signal: AbortSignal;
};

export type Documents = {
	notices: () => DocumentNotices;
	/** Versions that this host holds, to be sent to peers. */
	versions: () => KnownVersions;
	/** Handles the versions that a peer holds. */
	receiveVersions: (from: HostId, known: KnownVersions) => void;
	/** Whether a configuration version is newer than the one in force here. */
	isNewer: (version: ConfigVersion | undefined) => boolean;
	/** Whether a peer has recently reported a newer configuration than the one in force here. */
	isBehind: () => boolean;
	/** Validates the configuration that this host's entry holds, and puts it in force if it is newer. */
	offerFromEntry: (document: OfferedDocument) => void;
	/** Answers a peer's call for one of the documents. */
	serve: (kind: DocumentKind, method: string, body: unknown) => unknown;
	/** Settles once the signal has aborted. */
	done: Promise<unknown>;
};

/**
 * Starts keeping the documents up to date.
 *
 * @param options - See {@link KeepDocumentsOptions}.
 * @returns See {@link Documents}.
 */
export function keepDocuments(options: KeepDocumentsOptions): Documents {
	const {settings, table, log, pauses, call, onDocumentChange, counts, now, startedAt, random, signal} = options;
	const {hostId} = settings;
	let hasHeardFromPeer = false;
	/** Number of other live hosts in the platform's list; `undefined` before the list was read. */
	let listedHosts: number | undefined;
	/** Whether this process has learned which configuration the platform serves, from the platform or from a peer that vouches. */
	let isPlatformConfigKnown = false;
	const newest = createNewestReportedVersion();

	const held = createDocumentStore({
		table,
		log,
		onFleet(fleet) {
			listedHosts = fleet.hosts.filter(({id, state}) => id !== hostId && state === 'live').length;
			options.onFleet(fleet);
		},
		onRefused() {
			counts.configsRefused += 1;
		},
	});

	/** Validates a document and puts it in force if it is newer; `source` is for the log. */
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
			log.debug('fetching a document from a peer failed', {kind, peer: from, reason: message});
		},
		now,
		random,
		signal,
	});
	const spreads: Readonly<Record<DocumentKind, DocumentSpread>> = {config: createSpread('config'), fleet: createSpread('fleet')};

	const confirmedAt = () => table.view(now()).platformConfirmedAt;

	/** A restarted host learns from its peers before it reads the platform, which may be stale. */
	function hasHeardPeersOrWaited(): boolean {
		const isInformed = hasHeardFromPeer && !spreads.config.isBehind() && table.accepted() !== undefined;
		return isInformed || settings.seeds.length === 0 || now() - startedAt >= peerWaitMs;
	}

	const isReader = () => hasHeardPeersOrWaited() && options.isPlatformReader(now() - (confirmedAt() ?? startedAt));
	const onRead = () => {
		counts.platformReads += 1;
	};

	const onFailure = ({kind, message}: PlatformFailure) => {
		log.debug('reading the platform failed', {kind, reason: message});
	};

	const partReader = createPartReader({
		platform: options.platform,
		isReader: () => isReader() && !spreads.config.isBehind(),
		pace: () => toReadPace({hasHeardFromPeer, listedHosts, seeds: settings.seeds.length}),
		onRead,
		onFailure,
		random,
		signal,
	});

	/** Validates a document that the platform serves, after reading the parts that this host lacks. */
	async function takeFromPlatform(key: DocumentKind, {value: text, revision}: PlatformValue): Promise<ValueVerdict> {
		const before = held[key]();
		let offer = judgeDocument(key, {text, revision, isQuiet: true}, hostId, 'platform');
		if (offer.missing.length > 0) {
			// Stops when another document comes in force, which may be this one from a peer: the remaining reads would be wasted.
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

		// A value with another text is not held, although its revision is not newer: the platform may serve an old text in place of a new one.
		const isHeld = before !== undefined && before.version.revision >= revision && (key === 'fleet' || before.text === text);
		return offer.isChanged || isHeld ? 'taken' : 'refused';
	}

	function receiveVersions(from: HostId, known: KnownVersions) {
		hasHeardFromPeer = true;
		newest.note(known.config, now());
		reports.note(from, known);
		spreads.fleet.noteVersion(from, known.fleet);
		if (known.confirmedAgeMs !== undefined) {
			isPlatformConfigKnown = true;
			table.noteConfirmed(pauses.toEarliestArrival() - known.confirmedAgeMs);
		}
	}

	const reports = createReportComparison({
		seeds: settings.seeds,
		callAddress: options.callAddress,
		onVersions: receiveVersions,
		hasConfig: () => table.accepted() !== undefined,
		spread: spreads.config,
		waits: {vouchedWaitMs: peerWaitMs, unvouchedWaitMs},
		startedAt,
		now,
		log,
		signal,
	});

	async function takeFromWatch(key: DocumentKind, value: PlatformValue): Promise<ValueVerdict> {
		if (key === 'config') {
			await reports.preferReported(value);
		}

		const taken = await takeFromPlatform(key, value);
		isPlatformConfigKnown ||= key === 'config' && taken !== 'unfinished';
		return taken;
	}

	const isBehind = () => newest.isNewerThan(spreads.config.version(), now());

	/** Age of the platform's last confirmation, with which this host vouches for its version; `undefined` while it must not vouch. */
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
		receiveVersions,
		isNewer(version) {
			const own = table.accepted()?.version;
			return version !== undefined && (own === undefined || compareConfigVersions(version, own) > 0);
		},
		isBehind,
		offerFromEntry(document) {
			judgeDocument('config', document, hostId, 'entry');
		},
		serve: (kind, method, body) => spreads[kind].serve(method, body),
		done: Promise.all([watch('config'), watch('fleet'), reports.askSeeds()]),
	};
}
