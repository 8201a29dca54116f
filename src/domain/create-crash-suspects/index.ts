/**
 * Finds requests that crash the servers that run them. A host can't see why a server
 * ended, so every request that ran there is a suspect; a request that was running when
 * several servers ended is quarantined. Requests that failed only because they ran
 * beside it are rarely present at as many crashes, and are cleared once a server is
 * known to have survived one of their runs.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type Fingerprint, type ServerId} from '../../ports/ids.js';
import {msPerMinute, msPerSecond} from '../../ports/units.js';
import {createUnresolvedRuns} from '../create-unresolved-runs/index.js';
import {judgeSurvival} from '../judge-survival/index.js';
import {createLatestTimes} from '../create-latest-times/index.js';
import {weighCrashes} from '../weigh-crashes/index.js';
import {addSurvival} from './_lib/add-survival.js';
import {createKnownSurvivals} from './_lib/create-known-survivals.js';
import {createReportQueue} from './_lib/create-report-queue.js';
import {pickEvicted} from './_lib/pick-evicted.js';
import {pickReportedCrashes} from './_lib/pick-reported-crashes.js';
import {toCrashReport} from './_lib/to-crash-report.js';
import {
	type Crash, type CrashSuspects, type CrashSuspectsOptions, type Suspect,
} from './_lib/types.js';

export type * from './_lib/types.js';

type SeenCrashes = {
	seenAt: Milliseconds;
	crashes: ReadonlyArray<[ServerId, Milliseconds]>;
	/** End of a run of the request that cleared it. */
	clearedAt?: Milliseconds;
	/** Ends of runs that servers survived since. */
	survivals?: readonly Milliseconds[];
};

const defaultCrashesToQuarantine = 3;
const defaultForgetMs: Milliseconds = 60 * msPerMinute;
const defaultMaxSuspects = 2048;

/** A request that ends half of the servers that run it gains weight by three quarters of a crash in two runs. */
const defaultSurvivalWeight = 0.25;

/**
 * Time without a survival after which one at another software version than that of
 * all servers that ended counts. If none did, a release whose servers crash under
 * everything would quarantine requests that the servers before it serve.
 */
const otherVersionPauseMs: Milliseconds = 2 * msPerSecond;

/** Above the quarantine threshold, as some crashes may turn out not to be any. */
const defaultMaxCrashes = 8;

/** Maximum number of servers whose latest answer is kept, so that restarts under new names can't fill the memory. */
const maxAnsweringServers = 8192;

/** Maximum number of servers whose end is kept. */
const maxEndedServers = 256;

/** Maximum number of requests, and of requests by software version, whose survived runs are kept. */
const maxSurvivedRequests = 8192;

/**
 * Creates the record of one host.
 *
 * @param options - When a request is quarantined, and how much is remembered.
 * @returns See {@link CrashSuspects}; `now` is monotonic milliseconds.
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
	const {
		crashesToQuarantine = defaultCrashesToQuarantine, forgetMs = defaultForgetMs, maxSuspects = defaultMaxSuspects, maxCrashes = defaultMaxCrashes, maxReportedCrashes = maxCrashes, pickSurplus, lingerMs, survivalWeight = defaultSurvivalWeight, toVersion = () => undefined,
	} = options;
	/** Suspects by time of last occurrence, oldest first. */
	const suspects = new Map<Fingerprint, Suspect>();
	/** Start time of the latest call that each server answered. */
	const answeredAt = createLatestTimes(maxAnsweringServers);
	/** Time at which each server ended, as far as it is known. */
	const endedAt = createLatestTimes(maxEndedServers);
	const knownSurvivals = createKnownSurvivals({toVersion, maxServers: maxEndedServers, maxRequests: maxSurvivedRequests});
	const unresolved = createUnresolvedRuns({toAnsweredAt: answeredAt.get, ...(lingerMs !== undefined && {lingerMs})});

	/** A crash is dated by the latest time that fits, so it is judged as a run that was over then. */
	const isCrash = ({clearedAt}: Suspect, server: ServerId, at: Milliseconds): boolean =>
		at > clearedAt && judgeSurvival({startedAt: at, overAt: at}, {answeredAt: answeredAt.get(server)}).kind !== 'survived';

	const toCrashes = (suspect: Suspect): Array<[ServerId, Milliseconds]> => [...suspect.crashes].filter(([server, at]) => isCrash(suspect, server, at));

	const listCrashes = (suspect: Suspect): Crash[] => toCrashes(suspect).map(([server, at]) => ({server, at}));

	const weigh = (suspect: Suspect) => weighCrashes({crashes: toCrashes(suspect).map(([, at]) => at), survivals: suspect.survivals}, survivalWeight);

	const hasEnoughCrashes = (suspect: Suspect): boolean => suspect.crashes.size >= crashesToQuarantine && weigh(suspect).weight >= crashesToQuarantine;

	const queue = createReportQueue({
		suspects,
		listCrashes,
		toReport: (fingerprint, suspect, now) => toCrashReport({...suspect, fingerprint, crashes: pickReportedCrashes(listCrashes(suspect), maxReportedCrashes, pickSurplus)}, now),
	});

	function forget(fingerprint: Fingerprint): void {
		suspects.delete(fingerprint);
		queue.forget(fingerprint);
	}

	function find(fingerprint: Fingerprint, now: Milliseconds): Suspect | undefined {
		const suspect = suspects.get(fingerprint);
		if (suspect !== undefined && now - suspect.seenAt > forgetMs) {
			forget(fingerprint);
			return undefined;
		}

		return suspect;
	}

	/** Counts the crashes of each suspect up to quarantine, the least recently seen first. */
	function * countCrashes(): Generator<[Fingerprint, number]> {
		for (const [fingerprint, suspect] of suspects) {
			yield [fingerprint, Math.min(crashesToQuarantine, toCrashes(suspect).length)];
		}
	}

	function makeRoom(): void {
		if (suspects.size < maxSuspects) {
			return;
		}

		const evicted = pickEvicted(countCrashes());
		forget(evicted!);
	}

	/** Moves the request to the end, as the most recently seen suspect. */
	function touch(fingerprint: Fingerprint, {seenAt, crashes = []}: Pick<SeenCrashes, 'seenAt'> & Partial<SeenCrashes>, now: Milliseconds): Suspect {
		const known = find(fingerprint, now);
		if (known === undefined) {
			makeRoom();
		}

		const suspect = known ?? {
			crashes: new Map(), survivals: knownSurvivals.list(fingerprint, crashes.map(([server]) => server)), seenAt, clearedAt: -Infinity, mostCrashes: 0, reportedAt: now,
		};
		suspect.seenAt = Math.max(suspect.seenAt, seenAt);
		suspects.delete(fingerprint);
		suspects.set(fingerprint, suspect);
		return suspect;
	}

	/** Adds what speaks against the crashes of a request. Other hosts have to know if there are any. */
	function excuse(fingerprint: Fingerprint, suspect: Suspect, {clearedAt, survivals}: {clearedAt: Milliseconds; survivals: readonly Milliseconds[]}): void {
		const crashesBefore = toCrashes(suspect).length;
		const {length: survivalsBefore} = suspect.survivals;
		suspect.clearedAt = Math.max(suspect.clearedAt, clearedAt);
		for (const at of survivals) {
			suspect.survivals = addSurvival(suspect.survivals, at);
		}

		settle(suspect);
		const isExcused = toCrashes(suspect).length < crashesBefore || suspect.survivals.length > survivalsBefore;
		if (crashesBefore > 0 && isExcused) {
			queue.noteChanged(fingerprint);
		}
	}

	/** Forgets what counts no more. */
	function settle(suspect: Suspect): void {
		suspect.clearedAt = Math.max(suspect.clearedAt, weigh(suspect).clearedAt);
		suspect.survivals = suspect.survivals.filter(at => at > suspect.clearedAt);
	}

	/** Adds a crash unless it is known or is not a crash; returns whether it was added. */
	function addCrash(suspect: Suspect, server: ServerId, at: Milliseconds): boolean {
		endedAt.note(server, at);
		const known = suspect.crashes.get(server);
		const isKnown = known !== undefined && isCrash(suspect, server, known);
		if (isKnown || !isCrash(suspect, server, at)) {
			return false;
		}

		if (suspect.crashes.size >= maxCrashes) {
			suspect.crashes = new Map(toCrashes(suspect));
		}

		if (suspect.crashes.size < maxCrashes) {
			suspect.crashes.set(server, at);
			return true;
		}

		return replaceSurplus(suspect, {server, at});
	}

	/** Replaces a crash by one that tells more; returns whether there was any. */
	function replaceSurplus(suspect: Suspect, crash: Crash): boolean {
		const crashes = [...listCrashes(suspect), crash];
		const surplus = pickSurplus?.(crashes) ?? crash.server;
		suspect.crashes.set(crash.server, crash.at);
		suspect.crashes.delete(surplus);
		return surplus !== crash.server;
	}

	/** Whether a host that reports these does not know of runs which speak against its crashes. */
	const isContradicted = (suspect: Suspect, {crashes, clearedAt, survivals}: Required<SeenCrashes>): boolean =>
		(clearedAt < suspect.clearedAt && crashes.some(([, at]) => at <= suspect.clearedAt))
		|| (crashes.length > 0 && suspect.survivals.length > survivals.length);

	/** Adds crashes of a request; returns whether they put the request in quarantine. */
	function noteCrashes(fingerprint: Fingerprint, {seenAt, crashes, clearedAt = -Infinity, survivals = []}: SeenCrashes, now: Milliseconds): boolean {
		for (const [server] of crashes) {
			knownSurvivals.noteEnded(server);
		}

		const suspect = touch(fingerprint, {seenAt, crashes}, now);
		const hadEnoughCrashes = hasEnoughCrashes(suspect);
		const added = crashes.filter(([server, at]) => addCrash(suspect, server, at));
		excuse(fingerprint, suspect, {clearedAt, survivals});
		const isUnknown = isContradicted(suspect, {
			seenAt, crashes, clearedAt, survivals,
		});
		suspect.mostCrashes = Math.max(suspect.mostCrashes, toCrashes(suspect).length, isUnknown ? crashes.length : 0);
		if (added.length > 0 || isUnknown) {
			queue.noteChanged(fingerprint);
		} else if (suspect.crashes.size === 0) {
			forget(fingerprint);
		}

		return !hadEnoughCrashes && hasEnoughCrashes(suspect);
	}

	/** Whether a survived run speaks against the crashes. */
	function isTelling(suspect: Suspect, server: ServerId, at: Milliseconds): boolean {
		const ended = toCrashes(suspect).map(([crashed]) => crashed);
		return knownSurvivals.isComparable(server, ended) || suspect.survivals.every(known => Math.abs(at - known) >= otherVersionPauseMs);
	}

	function noteSurvived(fingerprint: Fingerprint, server: ServerId, at: Milliseconds): void {
		knownSurvivals.note(fingerprint, server, at);
		const suspect = suspects.get(fingerprint);
		if (suspect !== undefined && isTelling(suspect, server, at)) {
			excuse(fingerprint, suspect, {clearedAt: -Infinity, survivals: [at]});
		}
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
			// A server that answers another call may yet end soon after it closed the connection.
			unresolved.add({
				fingerprint, server, startedAt: now, endedAt: now, isWhole: false,
			});
			return noteCrashes(fingerprint, {seenAt: now, crashes: [[server, now]]}, now);
		},
		noteAnswered(server, calledAt) {
			answeredAt.note(server, calledAt);
			const survived = unresolved.takeSurvived(server);
			for (const {fingerprint, endedAt} of survived.filter(({isWhole}) => isWhole)) {
				noteSurvived(fingerprint, server, endedAt);
			}

			return survived.map(({fingerprint}) => fingerprint);
		},
		noteSurvived,
		noteUnresolved({fingerprint, server, startedAt, isWhole}, now) {
			const end = unresolved.add({
				fingerprint, server, startedAt, endedAt: now, isWhole,
			});
			return end !== undefined && noteCrashes(fingerprint, {seenAt: now, crashes: [[server, end]]}, now);
		},
		noteServerEnded(server, period, now) {
			return unresolved.noteEnded(server, period)
				.filter(({fingerprint, at}) => noteCrashes(fingerprint, {seenAt: at, crashes: [[server, at]]}, now))
				.map(({fingerprint}) => fingerprint);
		},
		noteRefused(fingerprint, now) {
			if (find(fingerprint, now) !== undefined) {
				touch(fingerprint, {seenAt: now}, now);
			}
		},
		mergeReports(reports, now) {
			return reports
				.filter(({idleMs}) => idleMs <= forgetMs)
				.filter(({fingerprint, idleMs, crashes, survivedMs = Infinity, survivalAgesMs = []}) => noteCrashes(fingerprint, {
					seenAt: now - idleMs, crashes: crashes.map(({server, ageMs}) => [server, now - ageMs]), clearedAt: now - survivedMs, survivals: survivalAgesMs.map(ageMs => now - ageMs),
				}, now))
				.map(({fingerprint}) => fingerprint);
		},
		isQuarantined(fingerprint, now) {
			const suspect = find(fingerprint, now);
			return suspect !== undefined && hasEnoughCrashes(suspect);
		},
		listCrashes(now, minCrashes) {
			return [...suspects]
				.filter(([, {crashes, seenAt}]) => crashes.size >= minCrashes && now - seenAt <= forgetMs)
				.map(([fingerprint, suspect]) => ({fingerprint, crashes: listCrashes(suspect)}))
				.filter(({crashes}) => crashes.length >= minCrashes);
		},
		listEnds() {
			return endedAt.entries().map(([server, at]) => ({server, at})).filter(({server, at}) => at >= answeredAt.get(server));
		},
		crashedServers(fingerprint, now) {
			const suspect = find(fingerprint, now);
			return suspect === undefined ? [] : toCrashes(suspect).map(([server]) => server);
		},
		toReports(now, picked) {
			sweep(now);
			return queue.toReports(now, picked);
		},
		takeChanged: queue.takeChanged,
		takeOverdue: queue.takeOverdue,
		listReports(now) {
			sweep(now);
			return queue.listReports(now);
		},
		count(now) {
			sweep(now);
			return {suspects: suspects.size, quarantined: [...suspects.values()].filter(suspect => hasEnoughCrashes(suspect)).length};
		},
	};
}
