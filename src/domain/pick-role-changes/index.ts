/**
 * Decides how many of a pool's servers do prefill and how many decode, and which
 * servers have to change their role.
 */
import {type ServerEntry} from '../../ports/config.js';
import {type ServerId, type ZoneId} from '../../ports/ids.js';

export type ChangeableRole = 'prefill' | 'decode';

export type RoleChange = {
	server: ServerEntry;
	role: ChangeableRole;
};

export type RoleChangeOptions = {
	/** Wanted share of prefill servers in the pool; a prefill server changes to decode if the others still meet the share. */
	prefillShare: number;
	/** Servers that are currently changing their role. */
	changing: ReadonlySet<ServerId>;
};

/**
 * Maximum share of a pool that changes at the same time, at least one server. A
 * changing server serves no requests for seconds.
 */
const changingShare = 0.1;

/** Minimum size of a pool for role changes; with one server of each role, any change would remove a role. */
const minServers = 3;

/** Minimum number of prefill servers that remain; with only one, its loss or a burst would make all decode servers compute prompts between their tokens. */
const minPrefillServers = 2;

function toZoneCounts(servers: readonly ServerEntry[]): ReadonlyMap<ZoneId, number> {
	const counts = new Map<ZoneId, number>();
	for (const {zone} of servers) {
		counts.set(zone, (counts.get(zone) ?? 0) + 1);
	}

	return counts;
}

/** Sorts the servers of a role, those of the zone with the most servers first, so that each zone keeps one as long as possible. */
function toCandidates(servers: readonly ServerEntry[]): ServerEntry[] {
	const counts = toZoneCounts(servers);
	return servers.toSorted((a, b) => counts.get(b.zone)! - counts.get(a.zone)! || (a.id < b.id ? -1 : 1));
}

/**
 * Share of the wanted prefill servers below which a decode server changes to prefill.
 * Prefill servers leave and restart at random; if the pool changed roles back and forth
 * each time, it would lose more than it gains, as a change costs six seconds of a
 * server plus the wait for its running answers.
 */
const minWantedShare = 0.5;

/** Returns the role that the pool needs more servers of; `undefined` if the split is acceptable. */
function toWantedRole(prefills: number, total: number, share: number): ChangeableRole | undefined {
	const wanted = total * share;
	if (prefills === 0 || prefills < wanted * minWantedShare) {
		return 'prefill';
	}

	return prefills > minPrefillServers && prefills - 1 >= wanted ? 'decode' : undefined;
}

/**
 * Picks the servers that should change their role now.
 *
 * Decode memory is the bottleneck in a burst, while prefill servers are half idle: a
 * prompt of 3,200 tokens occupies a prefill server for 0.1 s, and its answer holds a
 * tenth of a decode server's memory for more than 3 s. Without faults, a pool of six
 * servers achieved 86 % of its possible value with two prefill servers, 74 % with
 * three, and 76 % with one, because prompts queued. The wanted share follows from the
 * load, see `createSplitEstimate`. It includes one server more than prompts need: a
 * pool of thirteen lost a tenth of its daily value when four servers left and one
 * prefill server remained.
 *
 * @param servers - Servers of one pool that are in service, with their current roles.
 * @param options - The wanted share, and the servers that are already changing.
 * @returns Role changes; empty if the split is acceptable.
 *
 * @example
 * ```ts
 * pickRoleChanges([prefill1, prefill2, prefill3, decode1, decode2, decode3], {prefillShare: 0.33, changing: new Set()});
 * // => [{server: prefill1, role: 'decode'}]
 * ```
 */
export function pickRoleChanges(servers: readonly ServerEntry[], options: RoleChangeOptions): RoleChange[] {
	const {prefillShare, changing} = options;
	const steady = servers.filter(({id}) => !changing.has(id));
	const room = Math.max(1, Math.floor(servers.length * changingShare)) - (servers.length - steady.length);
	const prefills = toCandidates(steady.filter(({role}) => role === 'prefill'));
	const decodes = toCandidates(steady.filter(({role}) => role === 'decode'));
	const changes: RoleChange[] = [];
	while (servers.length >= minServers && changes.length < room) {
		const role = toWantedRole(prefills.length, servers.length, prefillShare);
		// The last decode server keeps its role; otherwise no server would generate answers.
		const server = role === 'decode' ? prefills.shift() : (role === 'prefill' && decodes.length > 1 ? decodes.shift() : undefined);
		if (role === undefined || server === undefined) {
			break;
		}

		changes.push({server, role});
		if (role === 'prefill') {
			prefills.push(server);
		}
	}

	return changes;
}
