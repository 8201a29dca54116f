/**
 * Which requests crash the servers that run them. A host can't see why a server
 * ended, so each request that ran there is suspected; one under which several
 * servers ended is quarantined. Its victims, which broke with it, are rarely at as
 * many crashes, and are cleared once they are answered whole.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type CrashReport} from '../../ports/crash-reports.js';
import {type Fingerprint, type ServerId} from '../../ports/ids.js';
import {msPerMinute, msPerSecond} from '../../ports/units.js';

export type CrashSuspectsOptions = {
	/** Servers that must have ended under a request before it is quarantined. */
	crashesToQuarantine?: number;
	/** Time after which a request that was not seen again is forgotten, milliseconds. */
	forgetMs?: Milliseconds;
	/** Requests that are remembered; beyond, those that are not quarantined go first, the longest unseen before the others. */
	maxSuspects?: number;
};

export type CrashSuspects = {
	/** The server closed the connection on which it had the request. Tells whether the request is quarantined from now on, and was not before. */
	noteBroken: (fingerprint: Fingerprint, server: ServerId, now: Milliseconds) => boolean;
	/** The server answered a call that was begun at this time: what broke there before was no crash. */
	noteAnswered: (server: ServerId, calledAt: Milliseconds) => void;
	/** The request was answered whole: earlier crashes were not its doing. */
	noteCompleted: (fingerprint: Fingerprint, now: Milliseconds) => void;
	/** The request came again and was refused. */
	noteRefused: (fingerprint: Fingerprint, now: Milliseconds) => void;
	/** Takes what another host tells. Gives the requests that are quarantined by it and were not before. */
	mergeReports: (reports: readonly CrashReport[], now: Milliseconds) => readonly Fingerprint[];
	isQuarantined: (fingerprint: Fingerprint, now: Milliseconds) => boolean;
	/** Servers that ended under the request. */
	crashedServers: (fingerprint: Fingerprint, now: Milliseconds) => readonly ServerId[];
	/** What others have to know in any case: requests with several crashes, and fresh ones with at least so many; others each time where there are more. */
	toReports: (now: Milliseconds, options: {leastFresh: number; limit: number}) => readonly CrashReport[];
	/** What has changed since it was taken last. */
	takeChanged: (now: Milliseconds, limit: number) => readonly CrashReport[];
	count: (now: Milliseconds) => {suspects: number; quarantined: number};
};

type Suspect = {
	/** When each server ended under it. */
	crashes: Map<ServerId, Milliseconds>;
	seenAt: Milliseconds;
	clearedAt: Milliseconds;
};

const defaultCrashesToQuarantine = 3;
const defaultForgetMs: Milliseconds = 60 * msPerMinute;
const defaultMaxSuspects = 2048;

/** Crashes that are kept of one request; some may turn out to be none. */
const maxCrashesOfSuspect = 8;

/** Servers of which it is kept that they answered; a day's restarts must not fill the memory. */
const maxAnsweringServers = 8192;

/** Time for which a request's first crash is told of: until then it has come to all hosts, or was a victim. */
const freshCrashMs: Milliseconds = 5 * msPerSecond;

/** Crashes from which on a request is told of for as long as it is remembered. */
const minCrashesToRepeat = 2;

/**
 * Creates the memory of a host that has seen nothing yet.
 *
 * @param options - When a request is quarantined, and how much is remembered.
 * @returns Functions that note and tell; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const suspects = createCrashSuspects({crashesToQuarantine: 2});
 * suspects.noteBroken('f', 'server-1', 0); // => false
 * suspects.noteBroken('f', 'server-2', 10); // => true
 * suspects.isQuarantined('f', 20); // => true
 * ```
 */
export function createCrashSuspects(options: CrashSuspectsOptions = {}): CrashSuspects {
	const {crashesToQuarantine = defaultCrashesToQuarantine, forgetMs = defaultForgetMs, maxSuspects = defaultMaxSuspects} = options;
	/** In the order in which they were seen last. */
	const suspects = new Map<Fingerprint, Suspect>();
	/** Start of the latest call that each server answered. */
	const answeredAt = new Map<ServerId, Milliseconds>();
	const changed = new Set<Fingerprint>();
	let reportOffset = 0;

	const isCrash = ({clearedAt}: Suspect, server: ServerId, at: Milliseconds): boolean =>
		at > clearedAt && at >= (answeredAt.get(server) ?? -Infinity);

	const toCrashes = (suspect: Suspect): Array<[ServerId, Milliseconds]> => [...suspect.crashes].filter(([server, at]) => isCrash(suspect, server, at));

	const hasEnoughCrashes = (suspect: Suspect): boolean => toCrashes(suspect).length >= crashesToQuarantine;

	function forget(fingerprint: Fingerprint): void {
		suspects.delete(fingerprint);
		changed.delete(fingerprint);
	}

	function find(fingerprint: Fingerprint, now: Milliseconds): Suspect | undefined {
		const suspect = suspects.get(fingerprint);
		if (suspect !== undefined && now - suspect.seenAt > forgetMs) {
			forget(fingerprint);
			return undefined;
		}

		return suspect;
	}

	function makeRoom(): void {
		if (suspects.size < maxSuspects) {
			return;
		}

		const [oldest] = suspects.keys();
		const [evicted = oldest] = [...suspects].find(([, suspect]) => !hasEnoughCrashes(suspect)) ?? [];
		forget(evicted!);
	}

	/** Puts the request behind all others that were seen before. */
	function touch(fingerprint: Fingerprint, seenAt: Milliseconds, now: Milliseconds): Suspect {
		const known = find(fingerprint, now);
		if (known === undefined) {
			makeRoom();
		}

		const suspect = known ?? {crashes: new Map(), seenAt, clearedAt: -Infinity};
		suspect.seenAt = Math.max(suspect.seenAt, seenAt);
		suspects.delete(fingerprint);
		suspects.set(fingerprint, suspect);
		return suspect;
	}

	/** Adds a crash unless it is known, or is none. */
	function addCrash(suspect: Suspect, server: ServerId, at: Milliseconds): boolean {
		const known = suspect.crashes.get(server);
		const isKnown = known !== undefined && isCrash(suspect, server, known);
		if (isKnown || !isCrash(suspect, server, at)) {
			return false;
		}

		if (suspect.crashes.size >= maxCrashesOfSuspect) {
			suspect.crashes = new Map(toCrashes(suspect));
		}

		const hasRoom = suspect.crashes.size < maxCrashesOfSuspect;
		if (hasRoom) {
			suspect.crashes.set(server, at);
		}

		return hasRoom;
	}

	/** Whether the change makes the request a quarantined one. */
	function noteCrashes(fingerprint: Fingerprint, {seenAt, crashes}: {seenAt: Milliseconds; crashes: ReadonlyArray<[ServerId, Milliseconds]>}, now: Milliseconds): boolean {
		const suspect = touch(fingerprint, seenAt, now);
		const hadEnoughCrashes = hasEnoughCrashes(suspect);
		const added = crashes.filter(([server, at]) => addCrash(suspect, server, at));
		if (added.length > 0) {
			changed.add(fingerprint);
		} else if (suspect.crashes.size === 0) {
			forget(fingerprint);
		}

		return !hadEnoughCrashes && hasEnoughCrashes(suspect);
	}

	function toReport(fingerprint: Fingerprint, suspect: Suspect, now: Milliseconds): CrashReport {
		return {
			fingerprint,
			idleMs: now - suspect.seenAt,
			crashes: toCrashes(suspect).slice(0, crashesToQuarantine).map(([server, at]) => ({server, ageMs: now - at})),
		};
	}

	function sweep(now: Milliseconds): void {
		for (const [fingerprint, {seenAt}] of suspects) {
			if (now - seenAt > forgetMs) {
				forget(fingerprint);
			}
		}
	}

	return {
		noteBroken(fingerprint, server, now) {
			return noteCrashes(fingerprint, {seenAt: now, crashes: [[server, now]]}, now);
		},
		noteAnswered(server, calledAt) {
			if (calledAt <= (answeredAt.get(server) ?? -Infinity)) {
				return;
			}

			if (!answeredAt.has(server) && answeredAt.size >= maxAnsweringServers) {
				const [oldest] = answeredAt.keys();
				answeredAt.delete(oldest!);
			}

			answeredAt.set(server, calledAt);
		},
		noteCompleted(fingerprint, now) {
			const suspect = suspects.get(fingerprint);
			if (suspect !== undefined) {
				suspect.clearedAt = now;
			}
		},
		noteRefused(fingerprint, now) {
			if (find(fingerprint, now) !== undefined) {
				touch(fingerprint, now, now);
			}
		},
		mergeReports(reports, now) {
			return reports
				.filter(({idleMs}) => idleMs <= forgetMs)
				.filter(({fingerprint, idleMs, crashes}) => noteCrashes(fingerprint, {
					seenAt: now - idleMs, crashes: crashes.map(({server, ageMs}) => [server, now - ageMs]),
				}, now))
				.map(({fingerprint}) => fingerprint);
		},
		isQuarantined(fingerprint, now) {
			const suspect = find(fingerprint, now);
			return suspect !== undefined && hasEnoughCrashes(suspect);
		},
		crashedServers(fingerprint, now) {
			const suspect = find(fingerprint, now);
			return suspect === undefined ? [] : toCrashes(suspect).map(([server]) => server);
		},
		toReports(now, {leastFresh, limit}) {
			sweep(now);
			const reportable = [...suspects]
				.map(([fingerprint, suspect]) => ({fingerprint, suspect, crashes: toCrashes(suspect)}))
				.filter(({crashes}) => crashes.length >= minCrashesToRepeat || (crashes.length >= leastFresh && crashes.some(([, at]) => now - at <= freshCrashMs)));
			reportOffset = reportable.length <= limit ? 0 : (reportOffset + limit) % reportable.length;
			return [...reportable, ...reportable]
				.slice(reportOffset, reportOffset + Math.min(limit, reportable.length))
				.map(({fingerprint, suspect}) => toReport(fingerprint, suspect, now));
		},
		takeChanged(now, limit) {
			const taken = [...changed].slice(0, limit);
			for (const fingerprint of taken) {
				changed.delete(fingerprint);
			}

			return taken.map(fingerprint => toReport(fingerprint, suspects.get(fingerprint)!, now));
		},
		count(now) {
			sweep(now);
			return {suspects: suspects.size, quarantined: [...suspects.values()].filter(suspect => hasEnoughCrashes(suspect)).length};
		},
	};
}
