/**
 * Decides which servers are eligible, from the fleet view, from what servers told
 * this host directly, and from this host's own health record.
 */
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type LoadReport} from '../../../ports/engine.js';
import {type ServerId, type ZoneId} from '../../../ports/ids.js';
import {type FleetView, type ServerStatus} from '../../../ports/view.js';
import {msPerMinute} from '../../../ports/units.js';
import {type HealthSubject, type ServerHealth} from '../../create-server-health/index.js';
import {type PassedOverReason} from './types.js';

/** What a server must offer, and which servers are excluded. */
export type Wanted = {
	model: string | undefined;
	version: string | undefined;
	adapter: string | undefined;
	exclude: ReadonlySet<ServerId> | undefined;
};

export type EligibilityQuery = {
	wanted: Wanted;
	view: FleetView;
	now: Milliseconds;
	/** Whether no other server is left; unreachable and ejected servers then count as suspect only. */
	isLastResort?: boolean;
};

/** Interval at which the view is scanned for partitioned zones and returning servers, milliseconds. */
const sweepEveryMs = 200;

/** How long a refusal as leaving or as wrong model counts if no newer report arrives, milliseconds. */
const refusalLifeMs = 30_000;

/** Upper bound of the pause that a server may request; a wrong value in its answer must not take it out of use for days. */
const maxPauseMs: Milliseconds = 10 * msPerMinute;

/** Reasons that only make a server a worse candidate; all other reasons exclude it. */
const softReasons: ReadonlySet<PassedOverReason> = new Set(['returning', 'unknown-load', 'doubted']);

export const isSoft = (reason: PassedOverReason): boolean => softReasons.has(reason);

const toMismatch = (entry: ServerEntry, load: LoadReport, wanted: Wanted): PassedOverReason | undefined => {
	if (entry.role !== load.role) {
		return 'wrong-role';
	}

	if (wanted.model !== undefined && load.model !== wanted.model) {
		return 'wrong-model';
	}

	if (wanted.version !== undefined && load.version !== wanted.version) {
		return 'wrong-version';
	}

	if (wanted.adapter !== undefined && !load.adapters.includes(wanted.adapter)) {
		return 'no-adapter';
	}

	return load.state === 'loading' ? 'not-serving' : undefined;
};

/** Share of a group of the own zone above which reports of unreachable servers are not trusted. */
const suspectShare = 0.5;

const toGroup = (entry: ServerEntry): string => `${entry.pool}/${entry.role}`;

/**
 * Finds the groups of the own zone in which polls report more than half of the
 * servers as unreachable. The fault may be the polling agent's own; if the reports
 * were trusted, the pool would be empty. These servers are therefore tried when no
 * other is left, which is safe as a failed reservation costs no prefill.
 */
const toSuspectGroups = (view: FleetView, servers: ReadonlyMap<ServerId, ServerEntry>, ownZone: ZoneId): ReadonlySet<string> => {
	const counts = new Map<string, {total: number; lost: number}>();
	for (const entry of servers.values()) {
		if (entry.zone === ownZone) {
			const {total, lost} = counts.get(toGroup(entry)) ?? {total: 0, lost: 0};
			counts.set(toGroup(entry), {total: total + 1, lost: lost + (view.servers.get(entry.id)?.reachable === false ? 1 : 0)});
		}
	}

	return new Set([...counts].filter(([, {total, lost}]) => lost > total * suspectShare).map(([group]) => group));
};

/** Zones, other than the own one, of which the view has hosts but no live one. */
const toPartitionedZones = (view: FleetView, ownZone: ZoneId): ReadonlySet<ZoneId> => {
	const living = new Map<ZoneId, boolean>();
	for (const host of view.hosts.values()) {
		living.set(host.zone, living.get(host.zone) === true || host.life === 'alive');
	}

	const partitioned = [...living].filter(([zone, isAlive]) => !isAlive && zone !== ownZone).map(([zone]) => zone);
	return new Set(partitioned);
};

export type EligibilityOptions = {
	zone: ZoneId;
	health: ServerHealth;
	toSubject: (entry: ServerEntry) => HealthSubject;
	staleAfterMs: Milliseconds;
};

/**
 * Creates the eligibility check of one host.
 *
 * @param options - Zone of this host, health record, and age at which reports go stale.
 * @returns Functions that check a server, and functions that record what servers say of themselves.
 */
export const createEligibility = ({zone, health, toSubject, staleAfterMs}: EligibilityOptions) => {
	const leavingAt = new Map<ServerId, Milliseconds>();
	const mismatchAt = new Map<ServerId, Milliseconds>();
	const pausedUntil = new Map<ServerId, Milliseconds>();
	const limitedUntil = new Map<ServerId, Milliseconds>();
	const unreachable = new Set<ServerId>();
	let partitionedZones: ReadonlySet<ZoneId> = new Set();
	let suspectGroups: ReadonlySet<string> = new Set();
	let sweptAt = -Infinity;

	/** Whether a refusal at `refusedAt` still overrides the server's reports. */
	const isRefusalValid = (refusedAt: Milliseconds | undefined, loadAt: Milliseconds, now: Milliseconds): boolean =>
		refusedAt !== undefined && loadAt <= refusedAt && now - refusedAt < refusalLifeMs;

	/**
	 * Scans the view at intervals. A server that was unreachable or partitioned and
	 * is back starts with a small share of requests, as all hosts see it empty at
	 * the same moment and would flood it.
	 */
	const sweep = (view: FleetView, servers: ReadonlyMap<ServerId, ServerEntry>, now: Milliseconds): void => {
		if (now - sweptAt < sweepEveryMs) {
			return;
		}

		sweptAt = now;
		partitionedZones = toPartitionedZones(view, zone);
		let isOwnZoneAffected = false;
		for (const entry of servers.values()) {
			const isUnreachable = partitionedZones.has(entry.zone) || view.servers.get(entry.id)?.reachable === false;
			if (isUnreachable) {
				isOwnZoneAffected ||= entry.zone === zone;
				unreachable.add(entry.id);
			} else if (unreachable.delete(entry.id)) {
				health.noteReturn(toSubject(entry), now);
			}
		}

		suspectGroups = isOwnZoneAffected ? toSuspectGroups(view, servers, zone) : new Set();
	};

	const toRemainingPauseMs = (server: ServerId, now: Milliseconds): Milliseconds => Math.max(0, (pausedUntil.get(server) ?? -Infinity) - now);

	const toRemainingLimitMs = (server: ServerId, now: Milliseconds): Milliseconds => Math.max(0, (limitedUntil.get(server) ?? -Infinity) - now);

	/** Whether the server is leaving, by the platform's list, its own report or a refusal. */
	const isLeaving = (server: ServerId, status: ServerStatus | undefined, loadAt: Milliseconds, now: Milliseconds): boolean =>
		status?.leaving === true || status?.load?.state === 'leaving' || isRefusalValid(leavingAt.get(server), loadAt, now);

	const isRecent = (at: Milliseconds | undefined, now: Milliseconds): boolean => at !== undefined && now - at <= staleAfterMs;

	/**
	 * Checks whether the server can be reached. A report that it is unreachable
	 * goes stale: an agent that is down or has just started can't withdraw the
	 * report, and the server would stay excluded for that time. A zone without live
	 * hosts may have lost only its agents; in that case hosts of other zones still
	 * report its servers as reachable.
	 */
	const toReachabilityReason = (entry: ServerEntry, status: ServerStatus | undefined, {now, isLastResort}: EligibilityQuery): PassedOverReason | undefined => {
		const {reachable, reachableAt} = status ?? {};
		if (partitionedZones.has(entry.zone)) {
			return reachable === true && isRecent(reachableAt, now) ? 'doubted' : 'cut-off';
		}

		if (reachable !== false) {
			return undefined;
		}

		const isOld = reachableAt !== undefined && !isRecent(reachableAt, now);
		const isSuspect = isLastResort === true || isOld || (entry.zone === zone && suspectGroups.has(toGroup(entry)));
		return isSuspect ? 'doubted' : 'unreachable';
	};

	const toHealthReason = (server: ServerId, now: Milliseconds, share: number): PassedOverReason | undefined => {
		const healthShare = health.toShare(server, now);
		if (healthShare === 0) {
			return 'ejected';
		}

		return share >= healthShare ? 'returning' : undefined;
	};

	/**
	 * @param entry - The server.
	 * @param query - Requirements, view and time.
	 * @param share - Random number in [0, 1) that is compared with a returning server's share; 0 always accepts the server.
	 * @returns Why the server is no candidate, or `undefined` if it is one.
	 */
	const toReason = (entry: ServerEntry, query: EligibilityQuery, share: number): PassedOverReason | undefined => {
		const {id} = entry;
		const {wanted, view, now} = query;
		if (wanted.exclude?.has(id)) {
			return 'excluded';
		}

		const status = view.servers.get(id);
		const loadAt = status?.load === undefined ? -Infinity : status.loadAt;
		if (isLeaving(id, status, loadAt, now)) {
			return 'leaving';
		}

		if (toRemainingPauseMs(id, now) > 0) {
			return 'paused';
		}

		if (toRemainingLimitMs(id, now) > 0) {
			return 'limited';
		}

		const reachReason = toReachabilityReason(entry, status, query);
		if (reachReason !== undefined && !isSoft(reachReason)) {
			return reachReason;
		}

		if (isRefusalValid(mismatchAt.get(id), loadAt, now)) {
			return 'wrong-model';
		}

		const reported = status?.load === undefined ? undefined : toMismatch(entry, status.load, wanted);
		const ownReason = toHealthReason(id, now, share);
		const healthReason = ownReason === 'ejected' && query.isLastResort ? 'doubted' : ownReason;
		return reported ?? healthReason ?? reachReason ?? (entry.role !== 'plain' && now - loadAt > staleAfterMs ? 'unknown-load' : undefined);
	};

	return {
		sweep,
		toReason,
		/** Zones that were partitioned at the last sweep; each sweep creates a new set. */
		partitionedZones: () => partitionedZones,
		/** Records a refusal as leaving; the server gets no new request, long before the platform lists it as leaving. */
		noteLeaving(server: ServerId, now: Milliseconds): void {
			leavingAt.set(server, now);
		},
		toRemainingPauseMs,
		/** Records that the server asks this host to back off; returns whether the server was not paused before. */
		notePause(server: ServerId, pauseMs: Milliseconds, now: Milliseconds): boolean {
			const isNew = toRemainingPauseMs(server, now) === 0;
			pausedUntil.set(server, Math.max(pausedUntil.get(server) ?? -Infinity, now + Math.min(maxPauseMs, pauseMs)));
			return isNew;
		},
		toRemainingLimitMs,
		/** Records that the server may get no request for a time, because of the limit that it states. */
		noteLimited(server: ServerId, limitedMs: Milliseconds, now: Milliseconds): void {
			limitedUntil.set(server, now + Math.min(maxPauseMs, limitedMs));
		},
		/** Records a refusal because the server has other weights than its last report says. */
		noteMismatch(server: ServerId, now: Milliseconds): void {
			mismatchAt.set(server, now);
		},
		forget(server: ServerId): void {
			leavingAt.delete(server);
			mismatchAt.delete(server);
			pausedUntil.delete(server);
			limitedUntil.delete(server);
			unreachable.delete(server);
		},
	};
};

export type Eligibility = ReturnType<typeof createEligibility>;
