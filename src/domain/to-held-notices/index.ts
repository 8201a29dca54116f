/** Makes notices for operators: which orders are held, why, and how to resolve that. */
import {type Config} from '../../ports/config.js';
import {type ServerId, type ZoneId} from '../../ports/ids.js';
import {type HeldOrder, type HeldReason} from '../plan-rollout/index.js';

export type HeldNotice = {
	pool: string;
	zone: ZoneId;
	reason: HeldReason;
	/** The first few of the servers whose orders are held. */
	servers: readonly ServerId[];
	count: number;
	/** Whether the orders may be held for ever unless an operator acts. */
	needsStaff: boolean;
	problem: string;
	remedy: string;
};

const shownServers = 5;
const gapRemedy = 'or, if callers may be refused while one server loads, publish the pool with "rollout: allow-gap" and remove that setting afterwards';

type Text = {needsStaff: boolean; problem: string; remedy: string};

const texts: Readonly<Record<HeldReason, Text>> = {
	settling: {
		needsStaff: false,
		problem: 'the edition is new, and some hosts may not have it yet',
		remedy: 'none needed, orders are sent in less than a minute',
	},
	overtaken: {
		needsStaff: false,
		problem: 'a server of the pool has taken orders of a later edition than the one in force on this host',
		remedy: 'find out why this host does not have the later edition: run banyanport status on a host of each zone',
	},
	unconfirmed: {
		needsStaff: true,
		problem: 'the platform has not confirmed the configuration for 10 s, directly or through other hosts, and a newer one may be in force elsewhere',
		remedy: 'check that the platform is up and that this zone reaches the platform or other hosts; orders continue by themselves then',
	},
	'stale-report': {
		needsStaff: false,
		problem: 'the server has not reported its load for some seconds',
		remedy: 'if this continues, check whether the server hangs, and restart it or take it out of the configuration',
	},
	'last-copy': {
		needsStaff: true,
		problem: 'no other server of the pool is known to serve in this role, so the pool could serve no request while this server loads',
		remedy: `repair or add a server of that role, ${gapRemedy}`,
	},
	'last-pair': {
		needsStaff: true,
		problem: 'without this server no prefill and decode server of the pool have the same weights, so the pool could serve no request while it loads',
		remedy: `repair or add servers of the pool, ${gapRemedy}`,
	},
	'last-zone-pair': {
		needsStaff: true,
		problem: 'without this server no prefill and decode server of the zone have the same weights, so the zone could serve no request alone if it were cut off now',
		remedy: `repair the other servers of the pool in that zone, or take those that are gone out of the configuration, ${gapRemedy}`,
	},
	'no-stand-in': {
		needsStaff: true,
		problem: 'the zone has one server in a role, and no other reachable zone of its region has servers with the same weights and enough free slots to serve its requests during the load',
		remedy: `check that the other zones are reachable and serve; if they are full, the order is sent once they have free slots; add a server to the zone, ${gapRemedy}`,
	},
	'zone-turn': {
		needsStaff: true,
		problem: 'the zone has one server in a role, and another zone of its region has no pair now or comes first',
		remedy: `none while the other zone loads; else repair the other zone, or take servers that are gone out of the configuration, ${gapRemedy}`,
	},
	turn: {
		needsStaff: true,
		problem: 'as many servers of the role as allowed are out of service already',
		remedy: `none while they load; else repair those that are down, or take them out of the configuration, ${gapRemedy}`,
	},
	'store-rate': {
		needsStaff: true,
		problem: 'as many servers as the weight store can supply are loading already',
		remedy: 'none while they load; a server that was lost while it loaded counts until it is back or out of the configuration',
	},
};

/**
 * Groups the held orders of a plan by pool, zone and reason.
 *
 * @param held - The orders that `planRollout` held.
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
