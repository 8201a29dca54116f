/** The platform's two documents as this agent holds them, whoever they came from. */
import {type Log} from '../../../adapters/log/index.js';
import {acceptConfig} from '../../../domain/accept-config/index.js';
import {type FleetTable} from '../../../domain/create-fleet-table/index.js';
import {parseFleetList} from '../../../domain/parse-fleet-list/index.js';
import {toDigest} from '../../../_lib/to-digest/index.js';
import {type ConfigVersion} from '../../../ports/config.js';
import {type FleetList} from '../../../ports/platform.js';

export type HeldDocument = {
	version: ConfigVersion;
	text: string;
};

export type Documents = {
	config: () => HeldDocument | undefined;
	fleet: () => HeldDocument | undefined;
	/** Judges a configuration document; `source` is for the log. Returns whether what is in force has changed. */
	offerConfig: (text: string, revision: number, source: string) => boolean;
	/** Judges a list of hosts and servers. Returns whether it was taken. */
	offerFleet: (text: string, revision: number, source: string) => boolean;
};

/**
 * Creates it.
 *
 * @param options - The table that shows what is in force, the log, and what is told of a new list of hosts.
 * @returns See {@link Documents}.
 */
export function holdDocuments({table, log, onFleet}: {table: FleetTable; log: Log; onFleet: (fleet: FleetList) => void}): Documents {
	let fleet: HeldDocument | undefined;
	let refusedDigest: string | undefined;

	return {
		config: table.accepted,
		fleet: () => fleet,
		offerConfig(text, revision, source) {
			const verdict = acceptConfig(table.accepted(), {text, revision});
			if (verdict.status === 'refused') {
				const digest = toDigest(text);
				if (digest !== refusedDigest) {
					refusedDigest = digest;
					log.warn('configuration refused', {
						revision, from: source, kind: verdict.reason, reason: verdict.message,
					});
				}

				return false;
			}

			table.setConfig(verdict.accepted);
			if (verdict.status === 'unchanged') {
				return false;
			}

			const {edition, digest} = verdict.accepted.version;
			log.info('configuration accepted', {
				edition, revision, digest, from: source,
			});
			const warning = verdict.rivalry?.message ?? verdict.warning;
			if (warning !== undefined) {
				log.warn('configuration accepted over another', {edition, reason: warning});
			}

			return true;
		},
		offerFleet(text, revision, source) {
			if (fleet && revision <= fleet.version.revision) {
				return false;
			}

			const parsed = parseFleetList(text);
			if (parsed.isErr()) {
				log.warn('host list refused', {revision, from: source, reason: parsed.error.message});
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
