/** Ends of a request, and the problems that its caller is told. */
import {type PlacementRefusal, type PlacementRefusalReason} from '../../../../domain/create-placement/index.js';
import {type Problem, type ProblemKind} from '../../../../domain/to-problem/index.js';
import {msPerSecond} from '../../../../ports/units.js';
import {type AttemptFailure} from '../../run-attempt/index.js';
import {toEndProblem} from '../../_lib/problems.js';
import {type AnswerEnd, type EndCause, type Run} from '../../_lib/types.js';

export type RunEnd =
	| ({kind: 'complete'} & AnswerEnd)
	| {kind: 'failed'; problem: Problem}
	/** Every decode server was full; the request may wait for admission again. */
	| {kind: 'bounced'; problem: Problem}
	/** The caller has disconnected. */
	| {kind: 'gone'};

const refusalKinds: Readonly<Record<PlacementRefusalReason, ProblemKind>> = {
	'no-config': 'no-configuration',
	'no-pool': 'no-capacity',
	'no-server': 'no-capacity',
	'no-memory': 'no-capacity',
	paused: 'no-capacity',
	limited: 'no-capacity',
	'would-miss-target': 'target-missed',
};

/** Delay before a caller may repeat a request of which nothing ran, if the failed server named none. */
const defaultRetryAfterMs = 100;

/**
 * Returns the end of a request for which no pair of servers was found.
 *
 * @param run - The request.
 * @param refusal - Why the placement found none.
 * @param wasFull - Whether a decode server was full; a pool without another server to try is then full, not faulty.
 * @returns The end of the request.
 */
export function toNotPlaced(run: Run, refusal: PlacementRefusal, wasFull: boolean): RunEnd {
	const outcome = run.ledger.outcome();
	const {retryAfterMs} = refusal;
	if (refusal.reason === 'no-server' && wasFull) {
		return {
			kind: 'bounced', problem: {
				kind: 'no-capacity', detail: 'Every decode server that was asked is full.', outcome, retryAfterMs,
			},
		};
	}

	const problem: Problem = {
		kind: refusalKinds[refusal.reason], detail: `${refusal.message}.`, outcome, retryAfterMs,
	};
	return {kind: refusal.reason === 'no-memory' ? 'bounced' : 'failed', problem};
}

/** Returns the end of a request that is not retried after a failed attempt. */
export function toGivenUp(run: Run, {failure, step, server, isTimedOut}: AttemptFailure): RunEnd {
	const outcome = run.ledger.outcome();
	// Servers that look unreachable are tried when no other is left. Failing to connect to them is lack of capacity, not a backend failure.
	if (failure.kind === 'unreachable' && outcome === 'not-run') {
		return {
			kind: 'failed',
			problem: {
				kind: 'no-capacity',
				detail: `Server ${server.id}, the last one tried, can't be reached. Nothing was run; send the request again.`,
				outcome,
				retryAfterMs: failure.retryAfterMs ?? msPerSecond,
			},
		};
	}

	const isLate = isTimedOut && outcome !== 'ran';
	const kind: ProblemKind = isLate ? 'deadline-passed' : (outcome === 'ran' ? 'answer-lost' : 'backend-failed');
	const again = outcome === 'not-run' ? ' Nothing was run; send the request again.' : ' The request was not retried: its rule does not allow it, or its time or the retry budget is used up.';
	return {
		kind: 'failed',
		problem: {
			kind, detail: `Step "${step}" failed on server ${server.id}: ${failure.kind}.${again}`, outcome, ...(outcome === 'not-run' && {retryAfterMs: failure.retryAfterMs ?? defaultRetryAfterMs}),
		},
	};
}

/** Returns the end of an aborted request. */
export function toEnded(run: Run): RunEnd {
	// A signal without a reason means that the caller stopped reading and its connection is being closed.
	const cause = run.signal.reason as EndCause | undefined ?? 'caller-gone';
	if (cause === 'caller-gone') {
		return {kind: 'gone'};
	}

	return {kind: 'failed', problem: toEndProblem(cause, run.ledger.outcome())};
}
