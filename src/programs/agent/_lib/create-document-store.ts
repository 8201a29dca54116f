/** Holds the platform's two documents, configuration and host list, from whichever source they came. */
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
	/** Parts of the document; absent for a document in one file. */
	parts?: readonly ConfigPart[];
};

/** Result of offering a configuration. */
export type ConfigOfferResult = {
	/** Whether the configuration in force has changed. */
	isChanged: boolean;
	/** Parts that the document references and that were not found. */
	missing: readonly NamedPart[];
};

export type ConfigOfferOptions = {
	/** Finds parts that are not in force. */
	findPart?: FindPart;
	/** Does not report missing parts, because the caller fetches them next. */
	isQuiet?: boolean;
};

/** A configuration document that was refused. */
export type RefusedDocument = {
	revision: number;
	/** Source of the document: the platform, a peer, or this host's entry. */
	from: string;
	kind: string;
	reason: string;
};

/** Notices to staff about the last documents, kept until another document comes in force. */
export type DocumentNotices = {
	refused: RefusedDocument | undefined;
	/** Warns that the document in force replaced another one, perhaps unintentionally. */
	warning: string | undefined;
};

export type DocumentStore = {
	config: () => HeldDocument | undefined;
	fleet: () => HeldDocument | undefined;
	notices: () => DocumentNotices;
	/** Validates a configuration document and puts it in force if it is newer; `source` is for the log. */
	offerConfig: (text: string, revision: number, source: string, options?: ConfigOfferOptions) => ConfigOfferResult;
	/** Validates a list of hosts and servers and keeps it if it is newer. Returns whether it was accepted. */
	offerFleet: (text: string, revision: number, source: string) => boolean;
};

/**
 * Creates the store.
 *
 * @param options - The table with the documents in force, the log, and callbacks for a new host list and a refused document.
 * @returns See {@link DocumentStore}.
 */
export function createDocumentStore(options: {table: FleetTable; log: Log; onFleet: (fleet: FleetList) => void; onRefused: () => void}): DocumentStore {
	const {table, log, onFleet, onRefused} = options;
	const read = createConfigReader();
	let fleet: HeldDocument | undefined;
	let notices: DocumentNotices = {refused: undefined, warning: undefined};
	let refusedDigest: string | undefined;

	/** Clears the notice of a refused document once the document in force was published again after it. */
	function clearRefused(revision: number) {
		if (notices.refused !== undefined && revision > notices.refused.revision) {
			notices = {...notices, refused: undefined};
			refusedDigest = undefined;
		}
	}

	/** Logs a refused document once, and again when other parts are missing than before. */
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
			// If the refused document is published again, it is reported again.
			refusedDigest = undefined;
			if (warning !== undefined) {
				log.warn('accepted configuration replaced another', {edition, reason: warning});
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
					revision, from: source, reason: parsed.error.message, remedy: 'publish a complete list under `fleet`; the previous list stays in force',
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
