import {type ServerEntry} from '../../../ports/config.js';
import {type ServerId} from '../../../ports/ids.js';
import {type RoleServers} from './to-pool-index.js';
import {maxAccountRows, type PassedOverReason, type PlacementAccount} from './types.js';

/** Servers looked at for an account, the own zone's first: it is made for each request, also in a pool of thousands. */
const maxLookedAt = 256;

/** The first elements of several lists, without a copy of the rest. */
const takeFirst = (lists: ReadonlyArray<readonly ServerEntry[]>, count: number): ServerEntry[] => {
	const taken: ServerEntry[] = [];
	for (const list of lists) {
		taken.push(...list.slice(0, count - taken.length));
	}

	return taken;
};

/**
 * @param pool - Name of the pool.
 * @param roles - Its servers of the roles looked for.
 * @param chosen - Servers taken.
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
