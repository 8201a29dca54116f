/** Logs what the platform publishes. */
import {type Log} from '../../../../adapters/log/index.js';
import {type FleetChange} from '../../../../domain/create-published-fleet/index.js';
import {type PublishedRead} from '../../../../ports/published.js';

/**
 * Logs the changes that a read made to the known fleet.
 *
 * @param log - Log of the process.
 * @param change - Changes made by the read.
 * @param revision - Revision up to which the platform has been read.
 */
export function logFleetChange(log: Log, {rules, servers, unreadable}: FleetChange, revision: number | undefined): void {
	if (rules !== undefined) {
		log.info('configuration in force', {edition: rules.version, rules: rules.rules.length, revision});
	}

	for (const {id, softwareVersion, became} of servers) {
		log.info('server changed', {
			server: id, softwareVersion, state: became, revision,
		});
	}

	for (const {what, name, reason} of unreadable) {
		const message = what === 'rules' ? 'published rules can\'t be read, those known stay in force' : 'published server can\'t be read and is not used';
		log.error(message, {server: name, reason, revision});
	}
}

/**
 * Logs how far the platform's content differs from what this host knows. After the
 * platform's return its content is the copy at first, then also what has been
 * written again.
 *
 * @param log - Log of the process.
 * @param read - The full read.
 * @param count - Number of servers that differ.
 */
export function logWholeRead(log: Log, {changes, position: {era, revision}}: PublishedRead, count: number): void {
	const listed = changes.find(change => change.kind === 'rules');
	log.info('platform read anew after its return', {
		era, revision, count, edition: listed?.rules.version,
	});
}
