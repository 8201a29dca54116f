import {type ServerEntry} from '../../../ports/config.js';
import {type ServerId} from '../../../ports/ids.js';
import {maxAccountRows, type PassedOverReason, type PlacementAccount} from './types.js';

/**
 * @param pool - Name of the pool.
 * @param servers - All its servers of the roles looked for.
 * @param chosen - Servers taken.
 * @param toReason - Why a server was passed over.
 * @returns The account, with counts over all servers and a bounded number of rows.
 */
export const toAccount = (pool: string, servers: readonly ServerEntry[], chosen: readonly ServerId[], toReason: (entry: ServerEntry) => PassedOverReason): PlacementAccount => {
	const counts: Partial<Record<PassedOverReason, number>> = {};
	const passedOver: Array<{server: ServerId; reason: PassedOverReason}> = [];
	for (const entry of servers) {
		if (chosen.includes(entry.id)) {
			continue;
		}

		const reason = toReason(entry);
		counts[reason] = (counts[reason] ?? 0) + 1;
		if (passedOver.length < maxAccountRows) {
			passedOver.push({server: entry.id, reason});
		}
	}

	return {
		pool, chosen, passedOver, counts,
	};
};
