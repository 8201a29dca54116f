/**
 * Keeps the latest summary of each zone, including the own zone while this host
 * is one of those that make its summary.
 */
import {toHash32} from '../../_lib/to-hash32/index.js';
import {type Milliseconds} from '../../ports/clock.js';
import {type Config} from '../../ports/config.js';
import {type ZoneId} from '../../ports/ids.js';
import {type SummaryRow, type ZoneSummary} from '../../ports/view.js';
import {pickNewerSummary, type StampedRow, type StampedSummary} from '../pick-newer-summary/index.js';
import {
	maxRows, packSummaries, toRounded, unpackSummaries,
} from './_lib/pack.js';

/** Age at which a summary is dropped: the summaries of two rounds in a row may get lost. */
export const summaryStaleMs = 20_000;

/** Maximum number of zones kept, so that a peer's messages cannot exhaust the memory. */
const maxZones = 64;
const maxStamp = 0xFF_FF_FF_FF;
const keyLimit = 2 ** 16;
const msPerStamp = 1000;
const roles = ['prefill', 'decode'] as const;

export type ZoneSummaries = {
	/** Stores this host's own summary of its zone; `wallNow` serves only to keep stamps rising over restarts. */
	setOwn: (summary: ZoneSummary, now: Milliseconds, wallNow: Milliseconds) => void;
	/** Merges the summaries that a peer sent; returns whether any was newer than the known one. */
	merge: (bytes: Uint8Array, arrivedAt: Milliseconds, now: Milliseconds) => boolean;
	/** Encodes the summary of one zone, or of all, for a peer; `undefined` when none is known. */
	pack: (now: Milliseconds, zone?: ZoneId) => Uint8Array | undefined;
	/** Summaries by name, of the zones and pools of the configuration; the same map until something changes. */
	view: (config: Config, now: Milliseconds) => ReadonlyMap<ZoneId, ZoneSummary>;
};

/** Maps hashes to pools and roles. When two collide, the first keeps the key, on all hosts alike. */
function toKeys(config: Config): Map<number, {pool: string; role: SummaryRow['role']}> {
	const keys = new Map<number, {pool: string; role: SummaryRow['role']}>();
	for (const {name} of config.pools) {
		for (const role of roles) {
			const key = toKey(name, role);
			keys.set(key, keys.get(key) ?? {pool: name, role});
		}
	}

	return keys;
}

const toKey = (pool: string, role: SummaryRow['role']): number => toHash32(`${pool}\n${role}`) % keyLimit;

function toStampedRows(rows: readonly SummaryRow[]): StampedRow[] {
	const stamped = new Map<number, StampedRow>();
	for (const {pool, role, servers, free, waitMs} of rows.slice(0, maxRows)) {
		const key = toKey(pool, role);
		stamped.set(key, stamped.get(key) ?? toRounded({
			key, servers, free, waitMs,
		}));
	}

	return [...stamped.values()];
}

/**
 * Creates an empty store of summaries.
 *
 * @param options - Age at which a summary is dropped, milliseconds.
 * @returns See {@link ZoneSummaries}.
 *
 * @example
 * ```ts
 * const summaries = createZoneSummaries();
 * summaries.make({zone: 'dvorana-a', at: now, rows}, now, wallNow);
 * summaries.pack(now)?.length; // => 11 bytes and 5 for each row
 * ```
 */
export function createZoneSummaries({staleAfterMs = summaryStaleMs}: {staleAfterMs?: Milliseconds} = {}): ZoneSummaries {
	const known = new Map<number, StampedSummary>();
	let version = 0;
	let shown: {version: number; config: Config; zones: ReadonlyMap<ZoneId, ZoneSummary>} | undefined;

	/**
	 * Drops stale summaries. A zone whose hosts all restarted with slower clocks uses
	 * lower stamps than before, so its summaries would be rejected; once the former
	 * summary is dropped for its age, they are accepted again.
	 */
	function forgetStale(now: Milliseconds) {
		for (const [zone, {at}] of known) {
			if (now - at >= staleAfterMs) {
				known.delete(zone);
				version += 1;
			}
		}
	}

	function note(summary: StampedSummary, now: Milliseconds): boolean {
		const prev = known.get(summary.zone);
		const kept = prev === undefined ? summary : pickNewerSummary(summary, prev);
		const isUnwanted = now - summary.at >= staleAfterMs || (prev === undefined && known.size >= maxZones);
		if (isUnwanted || kept === prev) {
			return false;
		}

		known.set(summary.zone, kept);
		version += 1;
		return kept.stamp !== prev?.stamp;
	}

	function toZones(config: Config): ReadonlyMap<ZoneId, ZoneSummary> {
		const keys = toKeys(config);
		return new Map(config.zones.flatMap(({id}) => {
			const summary = known.get(toHash32(id));
			const rows = summary?.rows.flatMap(({key, ...numbers}) => keys.has(key) ? [{...keys.get(key)!, ...numbers}] : []);
			return summary && rows ? [[id, {zone: id, at: summary.at, rows}] as const] : [];
		}));
	}

	return {
		setOwn({zone, at, rows}, now, wallNow) {
			forgetStale(now);
			const hash = toHash32(zone);
			const last = known.get(hash)?.stamp ?? 0;
			note({
				zone: hash, stamp: Math.min(maxStamp, Math.max(last + 1, Math.floor(wallNow / msPerStamp))), at, rows: toStampedRows(rows),
			}, now);
		},
		merge(bytes, arrivedAt, now) {
			forgetStale(now);
			return unpackSummaries(bytes, arrivedAt).map(summary => note(summary, now)).includes(true);
		},
		pack(now, zone) {
			forgetStale(now);
			const wanted = [...known.values()].filter(summary => zone === undefined || summary.zone === toHash32(zone));
			return wanted.length === 0 ? undefined : packSummaries(wanted, now);
		},
		view(config, now) {
			forgetStale(now);
			if (shown?.version !== version || shown.config !== config) {
				shown = {version, config, zones: toZones(config)};
			}

			return shown.zones;
		},
	};
}
