/**
 * Which servers may be considered at all: what the view says of each, what this
 * host learnt from the server itself, and its own health record.
 */
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type LoadReport} from '../../../ports/engine.js';
import {type ServerId, type ZoneId} from '../../../ports/ids.js';
import {type FleetView, type ServerStatus} from '../../../ports/view.js';
import {msPerMinute} from '../../../ports/units.js';
import {type HealthSubject, type ServerHealth} from '../../create-server-health/index.js';
import {type PassedOverReason} from './types.js';

/** What a server must have. */
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
	/** Nothing else is left: servers whose last reachability report is bad, or that were ejected, are only doubted. */
	isLastResort?: boolean;
};

/** How often the view is walked for cut zones and returning servers, milliseconds. */
const sweepEveryMs = 200;

/** How long a server's refusal as leaving, or as having other weights, counts without a newer report, milliseconds. */
const refusalLifeMs = 30_000;

/** Longest pause that a server is granted; a slip in its answer must not take it out of use for days. */
const maxPauseMs: Milliseconds = 10 * msPerMinute;

/** Reasons that only make a server a worse candidate; the others keep it out. */
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

/** Share of a group in the own zone that polls may call unreachable before they are doubted. */
const suspectShare = 0.5;

const toGroup = (entry: ServerEntry): string => `${entry.pool}/${entry.role}`;

/**
 * Groups of the own zone of which polls call more than half unreachable. That
 * may be the agent's own trouble; taken at its word it would empty the pool, so
 * these servers are tried when nothing else is left. A reservation that cannot
 * be made costs no prefill.
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

/** Zones with published hosts of which the view knows some and none is alive. */
const toPartitionedZones = (view: FleetView, ownZone: ZoneId): ReadonlySet<ZoneId> => {
	const living = new Map<ZoneId, boolean>();
	for (const host of view.hosts.values()) {
		living.set(host.zone, living.get(host.zone) === true || host.life === 'alive');
	}

	const cut = [...living].filter(([zone, isAlive]) => !isAlive && zone !== ownZone).map(([zone]) => zone);
	return new Set(cut);
};

export type EligibilityOptions = {
	zone: ZoneId;
	health: ServerHealth;
	toSubject: (entry: ServerEntry) => HealthSubject;
	staleAfterMs: Milliseconds;
};

/**
 * @param options - Zone of this host, health record, and age at which reports go stale.
 * @returns Functions that judge a server, and that note what servers say of themselves.
 */
export const createEligibility = ({zone, health, toSubject, staleAfterMs}: EligibilityOptions) => {
	const leavingAt = new Map<ServerId, Milliseconds>();
	const mismatchAt = new Map<ServerId, Milliseconds>();
	const pausedUntil = new Map<ServerId, Milliseconds>();
	const unreachable = new Set<ServerId>();
	let partitionedZones: ReadonlySet<ZoneId> = new Set();
	let suspectGroups: ReadonlySet<string> = new Set();
	let sweptAt = -Infinity;

	/** Whether the server's refusal at `refusedAt` still counts against its reports. */
	const isRefusalValid = (refusedAt: Milliseconds | undefined, loadAt: Milliseconds, now: Milliseconds): boolean =>
		refusedAt !== undefined && loadAt <= refusedAt && now - refusedAt < refusalLifeMs;

	/**
	 * Walks the view now and then. A server that was unreachable or behind a cut
	 * and is back starts with a small share, as every host sees it empty at once.
	 */
	const sweep = (view: FleetView, servers: ReadonlyMap<ServerId, ServerEntry>, now: Milliseconds): void => {
		if (now - sweptAt < sweepEveryMs) {
			return;
		}

		sweptAt = now;
		partitionedZones = toPartitionedZones(view, zone);
		let isLocalLost = false;
		for (const entry of servers.values()) {
			const isLost = partitionedZones.has(entry.zone) || view.servers.get(entry.id)?.reachable === false;
			if (isLost) {
				isLocalLost ||= entry.zone === zone;
				unreachable.add(entry.id);
			} else if (unreachable.delete(entry.id)) {
				health.noteReturn(toSubject(entry), now);
			}
		}

		suspectGroups = isLocalLost ? toSuspectGroups(view, servers, zone) : new Set();
	};

	const toRemainingPauseMs = (server: ServerId, now: Milliseconds): Milliseconds => Math.max(0, (pausedUntil.get(server) ?? -Infinity) - now);

	/** Whether the server is, or says it is, on its way out. */
	const isLeaving = (server: ServerId, status: ServerStatus | undefined, loadAt: Milliseconds, now: Milliseconds): boolean =>
		status?.leaving === true || status?.load?.state === 'leaving' || isRefusalValid(leavingAt.get(server), loadAt, now);

	const isRecent = (at: Milliseconds | undefined, now: Milliseconds): boolean => at !== undefined && now - at <= staleAfterMs;

	/**
	 * What speaks against the way to the server. A report that it can't be
	 * reached ages: an agent that is away, or has just started, can't take it
	 * back, and the server would stay out for as long. A zone without living hosts may have
	 * lost its agents alone, which hosts of other zones show by reaching its servers.
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
		const isDoubted = isLastResort === true || isOld || (entry.zone === zone && suspectGroups.has(toGroup(entry)));
		return isDoubted ? 'doubted' : 'unreachable';
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
	 * @param query - What is wanted, the view, the time.
	 * @param share - Random number in [0, 1) against which a returning server's share is held; 0 lets it pass.
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

		const reachReason = toReachabilityReason(entry, status, query);
		if (reachReason !== undefined && !isSoft(reachReason)) {
			return reachReason;
		}

		if (isRefusalValid(mismatchAt.get(id), loadAt, now)) {
			return 'wrong-model';
		}

		const reported = status?.load === undefined ? undefined : toMismatch(entry, status.load, wanted);
		const ownReason = toHealthReason(id, now, share);
		const doubt = ownReason === 'ejected' && query.isLastResort ? 'doubted' : ownReason;
		return reported ?? doubt ?? reachReason ?? (entry.role !== 'plain' && now - loadAt > staleAfterMs ? 'unknown-load' : undefined);
	};

	return {
		sweep,
		toReason,
		/** Zones behind a cut at the last sweep; another set after each. */
		partitionedZones: () => partitionedZones,
		/** The server refused as leaving: it gets nothing new, long before the platform's list says so. */
		noteLeaving(server: ServerId, now: Milliseconds): void {
			leavingAt.set(server, now);
		},
		toRemainingPauseMs,
		/** The server asks this host to back off. Tells whether it did not do so already. */
		notePause(server: ServerId, pauseMs: Milliseconds, now: Milliseconds): boolean {
			const isNew = toRemainingPauseMs(server, now) === 0;
			pausedUntil.set(server, Math.max(pausedUntil.get(server) ?? -Infinity, now + Math.min(maxPauseMs, pauseMs)));
			return isNew;
		},
		/** The server refused as having other weights than its last report said. */
		noteMismatch(server: ServerId, now: Milliseconds): void {
			mismatchAt.set(server, now);
		},
		forget(server: ServerId): void {
			leavingAt.delete(server);
			mismatchAt.delete(server);
			pausedUntil.delete(server);
			unreachable.delete(server);
		},
	};
};

export type Eligibility = ReturnType<typeof createEligibility>;
