/** Lets requests spend retries that the hosts keep together. */
import {createSharedRetries, type SharedRetriesOptions} from '../../../domain/create-shared-retries/index.js';
import {type Clock} from '../../../ports/clock.js';
import {type Quotas} from '../../../ports/quotas.js';
import {type SharedRetryPool} from '../../../ports/retries.js';

/**
 * Connects the account of shared retries to the hosts that keep it.
 *
 * @param options - The shared part of the retries.
 * @param quotas - Asks the host that counts what all hosts spend.
 * @param clock - Clock of the process.
 * @returns The shared retries for callers' requests.
 */
export function shareRetries(options: SharedRetriesOptions, quotas: Quotas, {now}: Pick<Clock, 'now'>): SharedRetryPool {
	const shared = createSharedRetries(options);
	return {
		async take(pool, retries) {
			const spend = shared.toSpend(pool, retries, now());
			if (spend === undefined) {
				return false;
			}

			const {isGranted} = await quotas.take(spend);
			return isGranted;
		},
		leave(pool, retries, earnedAt) {
			const given = shared.addSurplus(pool, retries, earnedAt);
			if (given !== undefined) {
				quotas.giveBack(given);
			}
		},
	};
}
