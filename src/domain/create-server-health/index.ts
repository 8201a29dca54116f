/**
 * Passive health checks: decides which backend servers this host ejects for a
 * while, from the outcomes of its own requests.
 *
 * Three safeguards keep a bad signal (a broken link of this host, a bad rule, a
 * faulty adapter) from emptying a pool. At most `maxEjectedShare` of a group is
 * ejected at a time, in the order in which the servers were found bad. When more
 * than `panicShare` of the group looks bad, the signal is ignored and no server is
 * ejected. And an ejected server returns automatically after a timeout, with a
 * gradually growing share of its requests.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type ServerId} from '../../ports/ids.js';
import {msPerMinute, msPerSecond} from '../../ports/units.js';

export type ServerHealthOptions = {
	/** Failure score at which a server is ejected; a failure adds 1 (1.5 if the server was unreachable), a success subtracts 0.5. */
	failuresToEject?: number;
	/** Duration of the first ejection, doubled for each ejection that follows soon; milliseconds. */
	ejectMs?: Milliseconds;
	maxEjectMs?: Milliseconds;
	/** Maximum share of a group that may be ejected at a time. */
	maxEjectedShare?: number;
	/** Share of bad servers in a group above which the signal is ignored. */
	panicShare?: number;
	/** Slowness, relative to the median of the group, at which a server counts as bad. */
	slowRatio?: number;
	/** Number of answers needed before a server can count as slow. */
	minSlowSamples?: number;
	/** Time over which a returning server's share grows from `rampFrom` to 1, milliseconds. */
	rampMs?: Milliseconds;
	rampFrom?: number;
};

/** A server, and the group with which it is compared. */
export type HealthSubject = {
	server: ServerId;
	/** Name of the group, for example pool and role. */
	group: string;
	/** Number of servers in the group, including servers that were never used. */
	groupSize: number;
};

type Track = {
	group: string;
	score: number;
	scoreAt: Milliseconds;
	slowness: number;
	samples: number;
	/** Time until which the server counts as bad. */
	badUntil: Milliseconds;
	isEjected: boolean;
	ejections: number;
	/** Start of a gradual return, for example after the server was unreachable. */
	returnAt: Milliseconds;
};

type Group = {size: number; members: Set<ServerId>; bad: Set<ServerId>};

const defaults = {
	failuresToEject: 3,
	ejectMs: 5 * msPerSecond,
	maxEjectMs: msPerMinute,
	maxEjectedShare: 0.34,
	panicShare: 0.5,
	slowRatio: 3,
	minSlowSamples: 10,
	rampMs: 10 * msPerSecond,
	rampFrom: 0.1,
};

const successCredit = 0.5;
const unreachableWeight = 1.5;

/** A returning server's score starts this far below the threshold, so that one failure soon after the return ejects it again. */
const probationMargin = 0.5;

/** Time in which a failure score decays by 1, so that rare failures don't add up. */
const scoreDecayMs = 10 * msPerSecond;

/** Weight of the newest answer in the moving average of slowness. */
const slownessGain = 0.1;

/** Minimum number of servers with samples, the server itself included, for a server to count as slow. */
const minSlowPeers = 3;

const createTrack = (group: string): Track => ({
	group, score: 0, scoreAt: -Infinity, slowness: 1, samples: 0, badUntil: -Infinity, isEjected: false, ejections: 0, returnAt: -Infinity,
});

const toMedian = (values: readonly number[]): number => {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.floor((sorted.length - 1) / 2)] ?? 1;
};

/** Maximum number of ejected servers in a group: never all, and one in groups of two or three. */
const toEjectionLimit = (size: number, share: number): number =>
	size < 2 ? 0 : Math.min(size - 1, Math.max(1, Math.floor(size * share)));

/**
 * Creates the health record of this host.
 *
 * @param options - Thresholds; see {@link ServerHealthOptions}.
 * @returns Functions that record answers and failures, and that read a server's share.
 *
 * @example
 * const health = createServerHealth({failuresToEject: 1});
 * health.noteFailure({server: 'a', group: 'g', groupSize: 3}, 'broken', 0);
 * health.toShare('a', 1); // 0
 * health.toShare('a', 60_000); // 1
 */
export const createServerHealth = (options: ServerHealthOptions = {}) => {
	const cfg = {...defaults, ...options};
	const tracks = new Map<ServerId, Track>();
	const groups = new Map<string, Group>();

	const toTrack = (subject: HealthSubject): Track => {
		const group = groups.get(subject.group) ?? {size: 0, members: new Set(), bad: new Set()};
		group.size = subject.groupSize;
		group.members.add(subject.server);
		groups.set(subject.group, group);
		const known = tracks.get(subject.server);
		if (known?.group === subject.group) {
			return known;
		}

		const track = createTrack(subject.group);
		tracks.set(subject.server, track);
		return track;
	};

	const decayScore = (track: Track, now: Milliseconds): void => {
		if (track.scoreAt !== -Infinity) {
			track.score = Math.max(0, track.score - ((now - track.scoreAt) / scoreDecayMs));
		}

		track.scoreAt = now;
	};

	/** Clears the bad state of all members of the group whose time is over. */
	const expire = (group: Group, now: Milliseconds): void => {
		for (const server of group.bad) {
			const track = tracks.get(server);
			if (track === undefined || track.badUntil <= now) {
				group.bad.delete(server);
				if (track?.isEjected) {
					track.isEjected = false;
					track.returnAt = track.badUntil;
				}
			}
		}
	};

	const eject = (subject: HealthSubject, track: Track, now: Milliseconds): void => {
		const group = groups.get(subject.group);
		if (group === undefined || now < track.badUntil) {
			return;
		}

		expire(group, now);
		const isLongAgo = now - track.badUntil > cfg.maxEjectMs;
		track.ejections = isLongAgo ? 1 : track.ejections + 1;
		track.badUntil = now + Math.min(cfg.maxEjectMs, cfg.ejectMs * (2 ** (track.ejections - 1)));
		track.score = cfg.failuresToEject - probationMargin;
		track.scoreAt = track.badUntil;
		track.samples = 0;
		track.slowness = 1;
		let ejectedCount = 0;
		for (const server of group.bad) {
			ejectedCount += tracks.get(server)?.isEjected ? 1 : 0;
		}

		track.isEjected = ejectedCount < toEjectionLimit(group.size, cfg.maxEjectedShare);
		group.bad.add(subject.server);
	};

	const isSlow = (track: Track): boolean => {
		if (track.samples < cfg.minSlowSamples || track.slowness < cfg.slowRatio) {
			return false;
		}

		const peers = [...groups.get(track.group)?.members ?? []]
			.map(server => tracks.get(server))
			.filter(peer => peer !== undefined && peer !== track && peer.samples >= cfg.minSlowSamples)
			.map(peer => peer?.slowness ?? 1);
		return peers.length >= minSlowPeers - 1 && track.slowness > cfg.slowRatio * toMedian(peers);
	};

	/**
	 * @param server - The server.
	 * @param now - Monotonic milliseconds.
	 * @returns Share of its usual requests that the server should get: 0 while it is ejected, 1 normally.
	 */
	const toShare = (server: ServerId, now: Milliseconds): number => {
		const track = tracks.get(server);
		if (track === undefined) {
			return 1;
		}

		const group = groups.get(track.group);
		if (group !== undefined && track.badUntil > now && track.isEjected) {
			expire(group, now);
			return group.bad.size > cfg.panicShare * group.size ? 1 : 0;
		}

		const returnAt = track.isEjected ? track.badUntil : track.returnAt;
		return now - returnAt >= cfg.rampMs ? 1 : Math.min(1, cfg.rampFrom + ((1 - cfg.rampFrom) * Math.max(0, now - returnAt) / cfg.rampMs));
	};

	return {
		toShare,
		noteSuccess(subject: HealthSubject, now: Milliseconds): void {
			const track = toTrack(subject);
			if (now < track.badUntil) {
				return;
			}

			decayScore(track, now);
			track.score = Math.max(0, track.score - successCredit);
		},
		/** @param kind - `unreachable` weighs more, as the server or the link to it is certainly down. */
		noteFailure(subject: HealthSubject, kind: 'unreachable' | 'broken' | 'invalid', now: Milliseconds): void {
			const track = toTrack(subject);
			if (now < track.badUntil) {
				return;
			}

			decayScore(track, now);
			track.score += kind === 'unreachable' ? unreachableWeight : 1;
			if (track.score >= cfg.failuresToEject) {
				eject(subject, track, now);
			}
		},
		/** @param slowness - Ratio of actual to predicted time. The moving average is compared with the group's median, so that a prediction that is wrong for all servers ejects none. */
		noteSlowness(subject: HealthSubject, slowness: number, now: Milliseconds): void {
			const track = toTrack(subject);
			if (now < track.badUntil) {
				return;
			}

			track.slowness += slownessGain * (slowness - track.slowness);
			track.samples++;
			if (isSlow(track)) {
				eject(subject, track, now);
			}
		},
		/**
		 * Starts a gradual return. Without it, a zone that comes back would look
		 * empty to all hosts at once and be flooded by them.
		 */
		noteReturn(subject: HealthSubject, now: Milliseconds): void {
			toTrack(subject).returnAt = now;
		},
		forget(server: ServerId): void {
			const track = tracks.get(server);
			if (track !== undefined) {
				groups.get(track.group)?.members.delete(server);
				groups.get(track.group)?.bad.delete(server);
				tracks.delete(server);
			}
		},
		/** Servers with state. */
		servers: (): Iterable<ServerId> => tracks.keys(),
	};
};

export type ServerHealth = ReturnType<typeof createServerHealth>;
