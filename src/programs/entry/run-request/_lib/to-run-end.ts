/** How a request's attempts end. */
import {type PlacementRefusal, type PlacementRefusalReason} from '../../../../domain/create-placement/index.js';
import {type Problem, type ProblemKind} from '../../../../domain/to-problem/index.js';
import {msPerSecond} from '../../../../ports/units.js';
import {type AttemptFailure} from '../../run-attempt/index.js';
import {toEndProblem} from '../../_lib/problems.js';
import {type AnswerEnd, type EndCause, type Run} from '../../_lib/types.js';

export type RunEnd =
	| ({kind: 'complete'} & AnswerEnd)
	| {kind: 'failed'; problem: Problem}
	/** Every decode server was full: the request may wait again. */
	| {kind: 'bounced'; problem: Problem}
	/** Nobody waits for the answer any more. */
	| {kind: 'gone'};

const refusalKinds: Readonly<Record<PlacementRefusalReason, ProblemKind>> = {
	'no-config': 'no-configuration',
	'no-pool': 'no-capacity',
	'no-server': 'no-capacity',
	'no-memory': 'no-capacity',
	paused: 'no-capacity',
	'would-miss-target': 'target-missed',
};

/** Time that another attempt takes, as long as no placement has been predicted. */
const defaultExpectedMs = 100;

/**
 * The end of a request that no pair was found for.
 *
 * @param run - The request.
 * @param refusal - The placement's.
 * @param wasFull - Whether a decode server that was asked had no room; then nothing is wrong but that the pool is full.
 * @returns The end.
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

/** The end of a request that can't go on after a failed attempt. */
export function toGivenUp(run: Run, {failure, step, server, isTimedOut}: AttemptFailure): RunEnd {
	const outcome = run.ledger.outcome();
	// Where no other server is left, those that look unreachable are tried; that they were is no failure of a backend.
	if (failure.kind === 'unreachable' && outcome === 'not-run') {
		return {
			kind: 'failed',
			problem: {
				kind: 'no-capacity',
				detail: `Server ${server.id}, the last that was tried, can't be reached. Nothing was run; send it again.`,
				outcome,
				retryAfterMs: failure.retryAfterMs ?? msPerSecond,
			},
		};
	}

	const isLate = isTimedOut && outcome !== 'ran';
	const kind: ProblemKind = isLate ? 'deadline-passed' : (outcome === 'ran' ? 'answer-lost' : 'backend-failed');
	const again = outcome === 'not-run' ? ' Nothing was run; send it again.' : ' It was not run again: its rule does not allow that, or time or retry budget are used up.';
	return {
		kind: 'failed',
		problem: {
			kind, detail: `Step "${step}" failed on server ${server.id}: ${failure.kind}.${again}`, outcome, ...(outcome === 'not-run' && {retryAfterMs: failure.retryAfterMs ?? defaultExpectedMs}),
		},
	};
}

/** The end of a request that was told to end. */
export function toEnded(run: Run): RunEnd {
	// Without a cause the caller has stopped reading, and its connection is being closed.
	const cause = run.signal.reason as EndCause | undefined ?? 'caller-gone';
	if (cause === 'caller-gone') {
		return {kind: 'gone'};
	}

	return {kind: 'failed', problem: toEndProblem(cause, run.ledger.outcome())};
}
