/** The platform's two documents as this agent holds them, whoever they came from. */
import {type Log} from '../../../adapters/log/index.js';
import {acceptConfig} from '../../../domain/accept-config/index.js';
import {type FleetTable} from '../../../domain/create-fleet-table/index.js';
import {createConfigReader} from '../../../domain/parse-config/index.js';
import {parseFleetList} from '../../../domain/parse-fleet-list/index.js';
import {toDigest} from '../../../_lib/to-digest/index.js';
import {
	type ConfigPart, type ConfigVersion, type FindPart, type NamedPart,
} from '../../../ports/config.js';
import {type FleetList} from '../../../ports/platform.js';

export type HeldDocument = {
	version: ConfigVersion;
	text: string;
	/** Of a document in parts. */
	parts?: readonly ConfigPart[];
};

/** What came of a configuration that was offered. */
export type ConfigOfferResult = {
	/** What is in force has changed. */
	isChanged: boolean;
	/** Parts that it names and that were not found. */
	missing: readonly NamedPart[];
};

export type ConfigOfferOptions = {
	/** Looks for parts that are not in force. */
	findPart?: FindPart;
	/** Says nothing of missing parts, which are fetched next. */
	isQuiet?: boolean;
};

/** A configuration document that was not taken. */
export type RefusedDocument = {
	revision: number;
	/** Where it came from: the platform, a peer, or this host's entry. */
	from: string;
	kind: string;
	reason: string;
};

/** What staff should know of the last documents, until another one comes in force. */
export type DocumentNotices = {
	refused: RefusedDocument | undefined;
	/** What the document in force displaced, where that may not have been meant. */
	warning: string | undefined;
};

export type DocumentStore = {
	config: () => HeldDocument | undefined;
	fleet: () => HeldDocument | undefined;
	notices: () => DocumentNotices;
	/** Judges a configuration document; `source` is for the log. */
	offerConfig: (text: string, revision: number, source: string, options?: ConfigOfferOptions) => ConfigOfferResult;
	/** Judges a list of hosts and servers. Returns whether it was taken. */
	offerFleet: (text: string, revision: number, source: string) => boolean;
};

/**
 * Creates it.
 *
 * @param options - The table that shows what is in force, the log, and what is told of a new list of hosts and of a refused document.
 * @returns See {@link DocumentStore}.
 */
export function createDocumentStore(options: {table: FleetTable; log: Log; onFleet: (fleet: FleetList) => void; onRefused: () => void}): DocumentStore {
	const {table, log, onFleet, onRefused} = options;
	const read = createConfigReader();
	let fleet: HeldDocument | undefined;
	let notices: DocumentNotices = {refused: undefined, warning: undefined};
	let refusedDigest: string | undefined;

	/** What is in force was published again after the refused one. */
	function clearRefused(revision: number) {
		if (notices.refused !== undefined && revision > notices.refused.revision) {
			notices = {...notices, refused: undefined};
			refusedDigest = undefined;
		}
	}

	/** Told once, and again when other parts are missing than before. */
	function noteRefused(digest: string, refused: RefusedDocument) {
		const isKnown = digest === refusedDigest;
		if (isKnown && (refused.kind !== 'parts-missing' || refused.reason === notices.refused?.reason)) {
			return;
		}

		refusedDigest = digest;
		notices = {...notices, refused};
		if (!isKnown) {
			onRefused();
		}

		log.warn('configuration refused', refused);
	}

	return {
		config: table.accepted,
		fleet: () => fleet,
		notices: () => notices,
		offerConfig(text, revision, source, {findPart, isQuiet = false} = {}) {
			const verdict = acceptConfig(table.accepted(), {text, revision, ...(findPart && {findPart})}, {read});
			if (verdict.status === 'refused') {
				const {reason: kind, message: reason, missing} = verdict;
				if (!isQuiet || missing.length === 0) {
					noteRefused(toDigest(text), {
						revision, from: source, kind, reason,
					});
				}

				return {isChanged: false, missing};
			}

			table.setConfig(verdict.accepted);
			if (verdict.status === 'unchanged') {
				clearRefused(revision);
				return {isChanged: false, missing: []};
			}

			const {edition, digest} = verdict.accepted.version;
			log.info('configuration accepted', {
				edition, revision, digest, from: source,
			});
			const warning = verdict.conflict?.message ?? verdict.warning;
			notices = {refused: undefined, warning};
			// Published again by mistake, it is told again.
			refusedDigest = undefined;
			if (warning !== undefined) {
				log.warn('configuration accepted over another', {edition, reason: warning});
			}

			return {isChanged: true, missing: []};
		},
		offerFleet(text, revision, source) {
			if (fleet && revision <= fleet.version.revision) {
				return false;
			}

			const parsed = parseFleetList(text);
			if (parsed.isErr()) {
				log.warn('host list refused', {
					revision, from: source, reason: parsed.error.message, remedy: 'publish a whole list under `fleet`; the one before stays in force',
				});
				return false;
			}

			fleet = {version: {edition: 0, revision, digest: toDigest(text)}, text};
			table.setFleet(parsed.value, revision);
			onFleet(parsed.value);
			log.debug('host list accepted', {revision, from: source});
			return true;
		},
	};
}
