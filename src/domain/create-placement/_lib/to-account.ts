import {type ServerEntry} from '../../../ports/config.js';
import {type ServerId} from '../../../ports/ids.js';
import {type RoleServers} from './to-pool-index.js';
import {maxAccountRows, type PassedOverReason, type PlacementAccount} from './types.js';

/** Maximum number of servers examined for an account, those of the own zone first; accounts are made for each request, also in pools of thousands of servers. */
const maxLookedAt = 256;

/** Takes the first elements of several lists without copying the rest. */
const takeFirst = (lists: ReadonlyArray<readonly ServerEntry[]>, count: number): ServerEntry[] => {
	const taken: ServerEntry[] = [];
	for (const list of lists) {
		taken.push(...list.slice(0, count - taken.length));
	}

	return taken;
};

/**
 * Builds the account of a placement: which servers were chosen, and why others were passed over.
 *
 * @param pool - Name of the pool.
 * @param roles - Its servers of the requested roles.
 * @param chosen - Servers that were chosen.
 * @param toReason - Why a server of the own zone or region was passed over.
 * @returns The account, with a bounded number of rows.
 */
export const toAccount = (pool: string, roles: readonly RoleServers[], chosen: readonly ServerId[], toReason: (entry: ServerEntry) => PassedOverReason): PlacementAccount => {
	const lists = [...roles.map(role => role.local), ...roles.map(role => role.nearby)];
	const inReach = lists.reduce((sum, list) => sum + list.length, 0);
	const total = roles.reduce((sum, role) => sum + role.all.length, 0);
	const counts: Partial<Record<PassedOverReason, number>> = {};
	const passedOver: Array<{server: ServerId; reason: PassedOverReason}> = [];
	for (const entry of takeFirst(lists, maxLookedAt)) {
		if (chosen.includes(entry.id)) {
			continue;
		}

		const reason = toReason(entry);
		counts[reason] = (counts[reason] ?? 0) + 1;
		if (passedOver.length < maxAccountRows) {
			passedOver.push({server: entry.id, reason});
		}
	}

	if (total > inReach) {
		counts['other-region'] = total - inReach;
	}

	return {
		pool, chosen, passedOver, counts, notLookedAt: Math.max(0, inReach - maxLookedAt),
	};
};
