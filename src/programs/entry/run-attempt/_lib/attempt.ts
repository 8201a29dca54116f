/** State of a running attempt, and its ends. */
import {type Placement} from '../../../../domain/create-placement/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type ServerEntry} from '../../../../ports/config.js';
import {type AttemptKey, type EngineFailure, type PrefillResult} from '../../../../ports/engine.js';
import {type StepFailure, type StepSignal} from '../../_lib/step.js';
import {type Run, type RunServices} from '../../_lib/types.js';

export type AttemptStep = 'reserve' | 'prefill' | 'transfer' | 'decode' | 'relay';

export type AttemptFailure = {
	kind: 'failed';
	step: AttemptStep;
	server: ServerEntry;
	failure: EngineFailure;
	/** Whether a server may have run the request. */
	hasOffered: boolean;
	isTimedOut: boolean;
};

export type AttemptEnd =
	| {kind: 'complete'; prefill: PrefillResult}
	| {kind: 'gone'}
	| AttemptFailure;

/** A running attempt. */
export type Attempt = {
	run: Run;
	services: RunServices;
	placement: Placement;
	key: AttemptKey;
	step: StepSignal;
	/** Servers that may hold a slot, a cache or a stream of the attempt. */
	serversToRelease: Set<ServerEntry>;
	toRemainingMs: () => Milliseconds;
	/** Whether no attempt of the request has failed yet. */
	isFirst: boolean;
};

/** Time left for the request, milliseconds. A caller that already has part of the answer waits for the rest even past the deadline. */
export function toRemainingMs(run: Run, now: Milliseconds): Milliseconds {
	const left = run.deadline - now;
	return run.buffer.offset() > 0 ? Math.max(left, run.rule.then.target.completeMs) : left;
}

/**
 * Whether a failed call left nothing on its server: the server refused it, or
 * received no byte of it. A server that refuses a duplicate holds the first copy;
 * if that counted as "not run", the caller would send the request again and pay
 * twice.
 */
export function isWithoutServerState(failure: StepFailure): boolean {
	return failure.isUnsent || failure.kind === 'unreachable' || (failure.kind === 'refused' && failure.reason !== 'duplicate');
}

export function toFailed(attempt: Attempt, step: AttemptStep, server: ServerEntry, failure: StepFailure): AttemptEnd {
	if (attempt.run.signal.aborted) {
		return {kind: 'gone'};
	}

	// A timeout is raised by this host, but counts as a failure of the server that did not answer.
	const reported: EngineFailure = failure.isTimedOut && !failure.isUnsent ? {...failure, kind: 'broken', message: `timed out: ${failure.message}`} : failure;
	attempt.services.placement.noteFailure(server, reported, attempt.services.clock.now());
	if (reported.reason === 'leaving') {
		attempt.services.reportLeaving(server.id);
	}

	return {
		kind: 'failed', step, server, failure: reported, hasOffered: attempt.run.ledger.isOffered(), isTimedOut: failure.isTimedOut,
	};
}
