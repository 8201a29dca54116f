/** Merges the records that messages carry, and passes urgent ones on at once. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type HostId} from '../../../ports/ids.js';
import {type Messages} from './create-messages.js';
import {type OwnRecord} from './create-own-record.js';
import {type Records} from './create-records.js';
import {type Targets} from './create-targets.js';
import {type FailureDetector} from './create-failure-detector.js';
import {type HostRecord, type OutMessage} from './types.js';

export type UpdateMerger = {
	/** Merges the records of a message; returns the messages that pass urgent records on. */
	take: (updates: readonly HostRecord[], from: HostId, now: Milliseconds) => OutMessage[];
};

/**
 * Creates the merger of one host.
 *
 * @param input - The tables, the failure detector, and the message factory.
 * @returns See {@link UpdateMerger}.
 */
export function createUpdateMerger({records, own, targets, failureDetector, messages}: {
	records: Records;
	own: OwnRecord;
	targets: Targets;
	failureDetector: FailureDetector;
	messages: Messages;
}): UpdateMerger {
	function isUrgent({id, life, leaving}: HostRecord, prev: HostRecord | undefined): boolean {
		// Gossip alone would be slow to reach an observer in another zone.
		const isSuspicion = life === 'suspect' && prev?.life !== 'suspect' && failureDetector.needsRemoteObservers(id);
		return life === 'dead' || life === 'left' || (leaving && prev?.leaving !== true) || isSuspicion;
	}

	/** Merges a record of another host; returns whether it must be passed on at once. */
	function merge(update: HostRecord, now: Milliseconds): boolean {
		const prev = records.get(update.id);
		const change = records.merge(update, now);
		if (change !== 'none' && update.life === 'suspect') {
			targets.verify(update.id);
		}

		return change === 'record' && isUrgent(update, prev);
	}

	return {
		take(updates, from, now) {
			const {id: ownId} = own.self();
			const urgent: HostRecord[] = [];
			const refuted: HostRecord[] = [];
			for (const update of updates) {
				if (update.id !== ownId) {
					urgent.push(...(merge(update, now) ? [update] : []));
				} else if (own.refute(update, now)) {
					refuted.push(own.self());
				}
			}

			return [...messages.flood(urgent, from, now), ...messages.flood(refuted, ownId, now)];
		},
	};
}
