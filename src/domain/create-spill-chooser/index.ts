/**
 * Chooses the zone to which requests of an overloaded zone spill. Keeps the state that
 * `pickSpillZone` needs in addition to the summaries: the requests that this host has
 * spilled since, and the zones that have come back.
 */
import {type Milliseconds, type Random} from '../../ports/clock.js';
import {type ServerEntry} from '../../ports/config.js';
import {type ZoneId} from '../../ports/ids.js';
import {msPerSecond} from '../../ports/units.js';
import {type FleetView, type SummaryRow, type ZoneSummary} from '../../ports/view.js';
import {type ServerLoad} from '../create-load-estimate/index.js';
import {pickSpillZone, type SpillOptions, type SpillZone} from '../pick-spill-zone/index.js';

/**
 * - `zone`: a zone chosen by its summary; `isFar` if it is in another region.
 * - `blind`: no reachable zone has a fresh summary; servers of the whole region may be sampled.
 * - `none`: according to the summaries no zone has room.
 */
export type SpillChoice = {kind: 'zone'; zone: ZoneId; isFar: boolean} | {kind: 'blind' | 'none'};

export type SpillQuery = {
	pool: string;
	/** Other zones with servers of the pool; zones of the own region have distance 0. */
	zones: ReadonlyArray<{zone: ZoneId; distance: number}>;
	view: FleetView;
	now: Milliseconds;
	random: Random;
	/** Wait for a prefill at which a zone is useless, milliseconds. */
	waitLimitMs: Milliseconds;
	/** Zones that have just turned out to have no suitable server. */
	excluded?: ReadonlySet<ZoneId>;
};

export type SpillChooserOptions = Pick<SpillOptions, 'rampMs' | 'rampFrom' | 'staleAfterMs'> & {
	/** Zone of this host. */
	zone: ZoneId;
};

export type SpillChooser = {
	/** Processes each new view, to notice zones that have come back. */
	update: (view: FleetView, partitionedZones: ReadonlySet<ZoneId>, now: Milliseconds) => void;
	choose: (query: SpillQuery) => SpillChoice;
	/** Fills an unknown load of a server with the mean load of its role in the summary of its zone. */
	fillUnknownLoad: (entry: ServerEntry, load: ServerLoad, view: FleetView, now: Milliseconds) => ServerLoad;
	/** Records that a request is sent to a server; only servers of other zones count. */
	noteSent: (server: ServerEntry, now: Milliseconds) => void;
};

type Presence = {isPresent: boolean; returnedAt: Milliseconds};

const defaultStaleAfterMs = 20_000;

/** Maximum number of own spills kept per pool and zone; more don't matter before the next summary. */
const maxSpills = 512;

const toKey = (pool: string, zone: ZoneId): string => `${pool}\n${zone}`;

const findRow = (summary: ZoneSummary | undefined, pool: string, role: SummaryRow['role']): SummaryRow | undefined =>
	summary?.rows.find(row => row.pool === pool && row.role === role);

/** Counts the live hosts of the own zone, which see the same summaries and spill for the same reason. */
const countNeighbours = (view: FleetView, zone: ZoneId): number =>
	Math.max(1, [...view.hosts.values()].filter(host => host.zone === zone && host.life === 'alive').length);

/**
 * Creates the chooser of one host.
 *
 * @param options - Zone of this host; ages in milliseconds as in `pickSpillZone`.
 * @returns See {@link SpillChooser}.
 *
 * @example
 * ```ts
 * const spills = createSpillChooser({zone: 'dvorana-a'});
 * spills.update(view, new Set(), now);
 * spills.choose(query); // => {kind: 'zone', zone: 'dvorana-b', isFar: false}
 * ```
 */
export function createSpillChooser({zone: ownZone, staleAfterMs = defaultStaleAfterMs, ...ramp}: SpillChooserOptions): SpillChooser {
	const sentAt = new Map<string, Milliseconds[]>();
	const presences = new Map<string, Presence>();
	let partitionedZones: ReadonlySet<ZoneId> = new Set();
	let lastSeen: {zones: FleetView['zones']; partitionedZones: ReadonlySet<ZoneId>} | undefined;

	const isFresh = (summary: ZoneSummary | undefined, now: Milliseconds): boolean => summary !== undefined && now - summary.at < staleAfterMs;

	function notePresence(pool: string, zone: ZoneId, summary: ZoneSummary | undefined, now: Milliseconds) {
		const key = toKey(pool, zone);
		const prev = presences.get(key);
		const row = findRow(summary, pool, 'decode') ?? findRow(summary, pool, 'prefill');
		if (zone === ownZone || (row === undefined && prev === undefined)) {
			return;
		}

		const isPresent = row !== undefined && row.servers > 0 && isFresh(summary, now) && !partitionedZones.has(zone);
		const isBack = isPresent && prev?.isPresent === false;
		presences.set(key, {isPresent, returnedAt: isBack ? now : prev?.returnedAt ?? -Infinity});
	}

	function countSince(pool: string, zone: ZoneId, at: Milliseconds): number {
		return sentAt.get(toKey(pool, zone))?.filter(time => time > at).length ?? 0;
	}

	function toSpillZone({zone, distance}: {zone: ZoneId; distance: number}, {pool, view}: SpillQuery, neighbours: number): SpillZone {
		const summary = view.zones?.get(zone);
		const at = summary?.at ?? -Infinity;
		const decode = findRow(summary, pool, 'decode');
		const prefill = findRow(summary, pool, 'prefill');
		return {
			zone,
			distance,
			isReachable: !partitionedZones.has(zone),
			free: (decode ?? prefill)?.free ?? 0,
			spilled: countSince(pool, zone, at) * neighbours,
			waitMs: prefill?.waitMs ?? 0,
			at,
			returnedAt: presences.get(toKey(pool, zone))?.returnedAt ?? -Infinity,
		};
	}

	return {
		update(view, nextPartitionedZones, now) {
			partitionedZones = nextPartitionedZones;
			if (lastSeen?.zones === view.zones && lastSeen?.partitionedZones === nextPartitionedZones) {
				return;
			}

			lastSeen = {zones: view.zones, partitionedZones: nextPartitionedZones};
			const config = view.zones?.size ? view.accepted?.config : undefined;
			for (const {name} of config?.pools ?? []) {
				for (const {id} of config?.zones ?? []) {
					notePresence(name, id, view.zones?.get(id), now);
				}
			}
		},
		choose(query) {
			const {view, now, random, waitLimitMs} = query;
			const inReach = query.zones.filter(({zone}) => !partitionedZones.has(zone));
			if (!inReach.some(({zone}) => isFresh(view.zones?.get(zone), now))) {
				return {kind: 'blind'};
			}

			const neighbours = countNeighbours(view, ownZone);
			const candidates = inReach.filter(({zone}) => !query.excluded?.has(zone));
			const zone = pickSpillZone(candidates.map(candidate => toSpillZone(candidate, query, neighbours)), now, random, {
				...ramp, staleAfterMs, waitLimitMs,
			});
			const found = candidates.find(candidate => candidate.zone === zone);
			return found ? {kind: 'zone', zone: found.zone, isFar: found.distance > 0} : {kind: 'none'};
		},
		fillUnknownLoad(entry, load, view, now) {
			const summary = entry.zone === ownZone || !load.isUnknown ? undefined : view.zones?.get(entry.zone);
			const row = entry.role === 'plain' ? undefined : findRow(summary, entry.pool, entry.role);
			if (!row || !isFresh(summary, now)) {
				return load;
			}

			const freeOfServer = row.servers === 0 ? 0 : Math.ceil(row.free / row.servers);
			return {
				...load,
				slotsUsed: Math.max(load.slotsUsed, load.slotsTotal - freeOfServer),
				backlogTokens: Math.max(load.backlogTokens, row.waitMs * load.tokensPerSecond / msPerSecond),
			};
		},
		noteSent({pool, zone}, now) {
			if (zone !== ownZone) {
				const key = toKey(pool, zone);
				const recent = sentAt.get(key)?.filter(time => now - time < staleAfterMs) ?? [];
				sentAt.set(key, [...recent.slice(1 - maxSpills), now]);
			}
		},
	};
}
