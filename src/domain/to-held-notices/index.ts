/** Says for staff which orders wait, for what, and what they can do. */
import {type Config} from '../../ports/config.js';
import {type ServerId, type ZoneId} from '../../ports/ids.js';
import {type HeldOrder, type HeldReason} from '../plan-rollout/index.js';

export type HeldNotice = {
	pool: string;
	zone: ZoneId;
	reason: HeldReason;
	/** Servers that wait; the first few by name. */
	servers: readonly ServerId[];
	count: number;
	/** Whether it may wait for ever unless somebody acts. */
	needsStaff: boolean;
	problem: string;
	remedy: string;
};

const shownServers = 5;
const gapRemedy = 'or, if callers may be refused while one server loads, publish the pool with "rollout: allow-gap" and take it out again afterwards';

type Text = {needsStaff: boolean; problem: string; remedy: string};

const texts: Readonly<Record<HeldReason, Text>> = {
	settling: {
		needsStaff: false,
		problem: 'the edition is new, and some hosts may not have it yet',
		remedy: 'none, orders go out in less than a minute',
	},
	overtaken: {
		needsStaff: false,
		problem: 'a server of the pool has taken orders of a later edition than the one in force on this host',
		remedy: 'see why this host has not got the edition: banyanport status on a host of each zone',
	},
	unconfirmed: {
		needsStaff: true,
		problem: 'the platform has not confirmed the configuration for 10 s, directly or through other hosts, and a newer one may be in force elsewhere',
		remedy: 'see whether the platform is up and this zone reaches it or other hosts; orders go on by themselves then',
	},
	'stale-report': {
		needsStaff: false,
		problem: 'the server has not reported its load for some seconds',
		remedy: 'if it goes on, see whether that server hangs, and restart it or take it out of the configuration',
	},
	'last-copy': {
		needsStaff: true,
		problem: 'no other server of the pool is known to serve in its role, and nobody would be served while it loads',
		remedy: `repair or add a server of that role, ${gapRemedy}`,
	},
	'last-pair': {
		needsStaff: true,
		problem: 'without it no prefill and decode server of the pool have the same weights, and nobody would be served while it loads',
		remedy: `repair or add servers of the pool, ${gapRemedy}`,
	},
	'last-zone-pair': {
		needsStaff: true,
		problem: 'without it no prefill and decode server of the zone have the same weights, and the zone could not go on alone if it were cut off now',
		remedy: `repair the other servers of the pool in that zone, or take those that are gone out of the configuration, ${gapRemedy}`,
	},
	'no-stand-in': {
		needsStaff: true,
		problem: 'the zone has one server in a role, and no other zone of its region that is reached has servers with the same weights and slots enough to serve its callers meanwhile',
		remedy: `see whether the other zones are reached and serve; if they are full it goes on in a quiet hour; add a server to the zone, ${gapRemedy}`,
	},
	'zone-turn': {
		needsStaff: true,
		problem: 'the zone has one server in a role, and another zone of its region has no pair now or comes first',
		remedy: `none while the other zone loads; else repair the other zone, or take servers that are gone out of the configuration, ${gapRemedy}`,
	},
	turn: {
		needsStaff: true,
		problem: 'enough servers of the role do not serve already',
		remedy: `none while they load; else repair those that are down, or take them out of the configuration, ${gapRemedy}`,
	},
	'store-rate': {
		needsStaff: true,
		problem: 'as many servers load as the weight store may feed',
		remedy: 'none while they load; a server that was lost while it loaded counts until it is back or out of the configuration',
	},
};

/**
 * Sums up the orders of a plan that wait, by pool, zone and reason.
 *
 * @param held - What `pickLoads` held.
 * @param config - The configuration in force.
 * @returns Notices in the order of their first server.
 *
 * @example
 * toHeldNotices(plan.held, accepted.config); // [{pool: 'summaries', zone: 'dvorana-a', reason: 'last-copy', …}]
 */
export const toHeldNotices = (held: readonly HeldOrder[], config: Pick<Config, 'servers'>): HeldNotice[] => {
	const entries = new Map(config.servers.map(entry => [entry.id, entry]));
	const notices = new Map<string, HeldNotice>();
	for (const {server, reason} of held) {
		const entry = entries.get(server);
		if (entry === undefined) {
			continue;
		}

		const {pool, zone} = entry;
		const key = `${pool} ${zone} ${reason}`;
		const before = notices.get(key);
		const servers = before?.servers ?? [];
		notices.set(key, {
			pool, zone, reason, ...texts[reason], servers: servers.length < shownServers ? [...servers, server] : servers, count: (before?.count ?? 0) + 1,
		});
	}

	return [...notices.values()];
};
