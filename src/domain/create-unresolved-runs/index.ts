/**
 * Runs of which it is not known yet whether their server survived them. Each is kept
 * until a later answer of the server proves that it did; a known end of the server
 * may turn out to be none.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type Fingerprint, type ServerId} from '../../ports/ids.js';
import {msPerSecond} from '../../ports/units.js';
import {judgeSurvival, type EndPeriod} from '../judge-survival/index.js';

export type UnresolvedRun = {
	fingerprint: Fingerprint;
	server: ServerId;
	startedAt: Milliseconds;
	/** Time at which this host saw the last of the run. */
	endedAt: Milliseconds;
	/** Whether its answer looked whole, so that the run succeeded if the server lives on. */
	isWhole: boolean;
};

export type UnresolvedRuns = {
	/** Adds a run; returns when its server ended during it, if that is known already. */
	add: (run: UnresolvedRun) => Milliseconds | undefined;
	/** Removes and returns the runs that a server is now known to have survived. */
	takeSurvived: (server: ServerId) => readonly UnresolvedRun[];
	/** Notes the end of a server; returns the runs during which it ended, with the latest time of that. */
	noteEnded: (server: ServerId, period: EndPeriod) => ReadonlyArray<{fingerprint: Fingerprint; at: Milliseconds}>;
};

export type UnresolvedRunsOptions = {
	/** Returns the start of the latest call that a server answered, `-Infinity` if it answered none. */
	toAnsweredAt: (server: ServerId) => Milliseconds;
	/** Time for which a run is kept; an end is known at the latest when the server's entry expires. */
	keepMs?: Milliseconds;
	/** Time for which a server may go on with a request after the connection was closed. */
	lingerMs?: Milliseconds;
	maxRuns?: number;
};

const defaultKeepMs: Milliseconds = 15 * msPerSecond;

/** Default time for which a server may go on with a request after the connection was closed. */
export const defaultLingerMs: Milliseconds = msPerSecond;

const defaultMaxRuns = 4096;

/** Maximum number of servers whose end is remembered. */
const maxEnds = 1024;

/**
 * Creates the record of one host.
 *
 * @param options - What else is known of servers, how long and how much is remembered.
 * @returns See {@link UnresolvedRuns}.
 *
 * @example
 * ```ts
 * const runs = createUnresolvedRuns({toAnsweredAt: () => 300});
 * runs.add({fingerprint: 'f', server: 'a', startedAt: 0, endedAt: 250, isWhole: false});
 * runs.takeSurvived('a'); // => []
 * runs.noteEnded('a', {from: 500, to: 600}); // => [{fingerprint: 'f', at: 600}]
 * ```
 */
export function createUnresolvedRuns({toAnsweredAt, keepMs = defaultKeepMs, lingerMs = defaultLingerMs, maxRuns = defaultMaxRuns}: UnresolvedRunsOptions): UnresolvedRuns {
	/** Runs in the order in which they ended. */
	let runs: UnresolvedRun[] = [];
	const ends = new Map<ServerId, EndPeriod>();

	const judge = ({server, startedAt, endedAt}: UnresolvedRun) =>
		judgeSurvival({startedAt, overAt: endedAt + lingerMs}, {answeredAt: toAnsweredAt(server), ended: ends.get(server)});

	function toCrashedAt(run: UnresolvedRun): Milliseconds | undefined {
		const survival = judge(run);
		return survival.kind === 'crashed' ? survival.at : undefined;
	}

	return {
		add(run) {
			runs = [...runs.filter(({endedAt}) => run.endedAt - endedAt <= keepMs), run].slice(-maxRuns);
			return toCrashedAt(run);
		},
		takeSurvived(server) {
			const survived = runs.filter(run => run.server === server && judge(run).kind === 'survived');
			if (survived.length > 0) {
				runs = runs.filter(run => !survived.includes(run));
			}

			return survived;
		},
		noteEnded(server, period) {
			ends.delete(server);
			ends.set(server, period);
			if (ends.size > maxEnds) {
				const [oldest] = ends.keys();
				ends.delete(oldest!);
			}

			return runs.filter(run => run.server === server).flatMap(run => {
				const at = toCrashedAt(run);
				return at === undefined ? [] : [{fingerprint: run.fingerprint, at}];
			});
		},
	};
}
