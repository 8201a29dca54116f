import {type ServerEntry} from '../../../ports/config.js';
import {type ServerId} from '../../../ports/ids.js';
import {type RoleServers} from './to-pool-index.js';
import {maxAccountRows, type PassedOverReason, type PlacementAccount} from './types.js';

/** Servers looked at for an account, the own zone's first: it is made for each request, also in a pool of thousands. */
const maxLookedAt = 256;

/**
 * @param pool - Name of the pool.
 * @param roles - Its servers of the roles looked for.
 * @param chosen - Servers taken.
 * @param toReason - Why a server of the own zone or region was passed over.
 * @returns The account, with a bounded number of rows.
 */
export const toAccount = (pool: string, roles: readonly RoleServers[], chosen: readonly ServerId[], toReason: (entry: ServerEntry) => PassedOverReason): PlacementAccount => {
	const inReach = [...roles.flatMap(role => role.local), ...roles.flatMap(role => role.nearby)];
	const total = roles.reduce((sum, role) => sum + role.all.length, 0);
	const counts: Partial<Record<PassedOverReason, number>> = {};
	const passedOver: Array<{server: ServerId; reason: PassedOverReason}> = [];
	for (const entry of inReach.slice(0, maxLookedAt)) {
		if (chosen.includes(entry.id)) {
			continue;
		}

		const reason = toReason(entry);
		counts[reason] = (counts[reason] ?? 0) + 1;
		if (passedOver.length < maxAccountRows) {
			passedOver.push({server: entry.id, reason});
		}
	}

	if (total > inReach.length) {
		counts['other-region'] = total - inReach.length;
	}

	return {
		pool, chosen, passedOver, counts, notLookedAt: Math.max(0, inReach.length - maxLookedAt),
	};
};
