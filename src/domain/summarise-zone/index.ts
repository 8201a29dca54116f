/** Sums up the servers of one zone. */
import {type Milliseconds} from '../../ports/clock.js';
import {type ServerEntry} from '../../ports/config.js';
import {type ZoneId} from '../../ports/ids.js';
import {msPerSecond} from '../../ports/units.js';
import {type FleetView, type ServerStatus, type SummaryRow} from '../../ports/view.js';

/** Age up to which a report counts: polls run once a second, two in a row may be lost, and a report takes some seconds to cross a large zone. */
const defaultStaleAfterMs = 8000;

const maxServers = 255;
const roles = ['prefill', 'decode'] as const;

export type ZoneSum = {
	rows: readonly SummaryRow[];
	/** Mean time at which the reports that count were true; `now` when none does. */
	at: Milliseconds;
};

/** Returns the servers that accept new work. */
function toServing(entries: readonly ServerEntry[], view: FleetView, now: Milliseconds, staleAfterMs: Milliseconds): ServerStatus[] {
	return entries.flatMap(({id, role}) => {
		const status = view.servers.get(id);
		const isServing = status?.load?.state === 'serving' && status.load.role === role && !status.leaving && status.reachable !== false && now - status.loadAt <= staleAfterMs;
		return isServing ? [status] : [];
	});
}

function toRow(pool: string, role: SummaryRow['role'], serving: readonly ServerStatus[]): SummaryRow {
	const loads = serving.flatMap(({load}) => load ? [load] : []);
	const free = loads.reduce((sum, load) => sum + Math.max(0, load.slotsTotal - load.slotsUsed - load.queued), 0);
	const queuedTokens = loads.reduce((sum, load) => sum + load.queuedTokens, 0);
	const tokensPerSecond = loads.reduce((sum, load) => sum + load.tokensPerSecond, 0);
	const waitMs = role === 'prefill' && queuedTokens > 0 ? Math.ceil(queuedTokens / Math.max(1, tokensPerSecond) * msPerSecond) : 0;
	return {
		pool, role, servers: Math.min(maxServers, loads.length), free, waitMs,
	};
}

/**
 * Sums up the free slots and the wait of a zone's servers, for each model pool and
 * role that has servers there. A server that is leaving, was not reached, loads
 * weights, or whose report is stale is left out.
 *
 * @param view - The fleet as a host of the zone knows it.
 * @param zone - The zone.
 * @param now - Monotonic milliseconds.
 * @param options - Age up to which a report counts, milliseconds.
 * @returns One row for each pool and role, and the mean time of the reports that count.
 *
 * @example
 * ```ts
 * summariseZone(view, 'dvorana-a', now).rows; // => [{pool: 'desk', role: 'decode', servers: 70, free: 312, waitMs: 0}]
 * ```
 */
export function summariseZone(view: FleetView, zone: ZoneId, now: Milliseconds, {staleAfterMs = defaultStaleAfterMs}: {staleAfterMs?: Milliseconds} = {}): ZoneSum {
	const config = view.accepted?.config;
	const local = config?.servers.filter(server => server.zone === zone) ?? [];
	const pools = config?.pools.filter(({kind}) => kind === 'model') ?? [];
	const groups = pools.flatMap(({name}) => roles.map(role => {
		const entries = local.filter(server => server.pool === name && server.role === role);
		return {
			pool: name, role, entries, serving: toServing(entries, view, now, staleAfterMs),
		};
	}));
	const times = groups.flatMap(({serving}) => serving.map(({loadAt}) => loadAt));
	return {
		rows: groups.filter(({entries}) => entries.length > 0).map(({pool, role, serving}) => toRow(pool, role, serving)),
		at: times.length === 0 ? now : times.reduce((sum, at) => sum + at, 0) / times.length,
	};
}
