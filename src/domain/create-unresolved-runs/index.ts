/**
 * Runs of which it is not known yet whether their server survived them, until the
 * server answers a later call or is known to have ended.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type Fingerprint, type ServerId} from '../../ports/ids.js';
import {msPerSecond} from '../../ports/units.js';

export type UnresolvedRun = {
	fingerprint: Fingerprint;
	server: ServerId;
	startedAt: Milliseconds;
	/** Time at which this host saw the last of the run. */
	endedAt: Milliseconds;
	/** Whether its answer looked whole, so that the run succeeded if the server lives on. */
	isWhole: boolean;
};

/** Period within which a server ended, monotonic milliseconds. */
export type EndPeriod = {from: Milliseconds; to: Milliseconds};

export type UnresolvedRuns = {
	/** Adds a run; returns when its server ended during it, if that is known already. */
	add: (run: UnresolvedRun) => Milliseconds | undefined;
	/** Takes the runs of a server that ended before a call which the server answered. */
	takeSurvived: (server: ServerId, calledAt: Milliseconds) => readonly UnresolvedRun[];
	/** Takes the runs during which a server ended, with the time of that. */
	takeEnded: (server: ServerId, period: EndPeriod) => ReadonlyArray<{fingerprint: Fingerprint; at: Milliseconds}>;
};

export type UnresolvedRunsOptions = {
	/** Time for which a run is kept; an end is known at the latest when the server's entry expires. */
	keepMs?: Milliseconds;
	/** Time for which a server may go on with a request after this host has closed the connection. */
	lingerMs?: Milliseconds;
	maxRuns?: number;
};

const defaultKeepMs: Milliseconds = 15 * msPerSecond;
const defaultLingerMs: Milliseconds = msPerSecond;
const defaultMaxRuns = 4096;

/** Maximum number of servers whose end is remembered. */
const maxEnds = 1024;

/**
 * Creates the record of one host.
 *
 * @param options - How long and how much is remembered.
 * @returns See {@link UnresolvedRuns}.
 *
 * @example
 * ```ts
 * const runs = createUnresolvedRuns();
 * runs.add({fingerprint: 'f', server: 'a', startedAt: 0, endedAt: 700, isWhole: false});
 * runs.takeEnded('a', {from: 500, to: 4000}); // => [{fingerprint: 'f', at: 700}]
 * ```
 */
export function createUnresolvedRuns({keepMs = defaultKeepMs, lingerMs = defaultLingerMs, maxRuns = defaultMaxRuns}: UnresolvedRunsOptions = {}): UnresolvedRuns {
	/** Runs in the order in which they ended. */
	let runs: UnresolvedRun[] = [];
	const ends = new Map<ServerId, EndPeriod>();

	const overlaps = ({startedAt, endedAt}: UnresolvedRun, {from, to}: EndPeriod): boolean => startedAt <= to && from <= endedAt + lingerMs;

	const toEndOf = ({endedAt}: UnresolvedRun, {from, to}: EndPeriod): Milliseconds => Math.min(to, Math.max(from, endedAt));

	function take(isTaken: (run: UnresolvedRun) => boolean): UnresolvedRun[] {
		const taken = runs.filter(run => isTaken(run));
		if (taken.length > 0) {
			runs = runs.filter(run => !isTaken(run));
		}

		return taken;
	}

	return {
		add(run) {
			const end = ends.get(run.server);
			if (end !== undefined && overlaps(run, end)) {
				return toEndOf(run, end);
			}

			runs = [...runs.filter(({endedAt}) => run.endedAt - endedAt <= keepMs), run].slice(-maxRuns);
			return undefined;
		},
		takeSurvived(server, calledAt) {
			return runs.length === 0 ? [] : take(run => run.server === server && run.endedAt < calledAt);
		},
		takeEnded(server, period) {
			ends.delete(server);
			ends.set(server, period);
			if (ends.size > maxEnds) {
				const [oldest] = ends.keys();
				ends.delete(oldest!);
			}

			return take(run => run.server === server && overlaps(run, period)).map(run => ({fingerprint: run.fingerprint, at: toEndOf(run, period)}));
		},
	};
}
