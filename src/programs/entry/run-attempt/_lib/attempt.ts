/** An attempt while it goes on, how it ends, and what its failures mean. */
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
	/** Whether the server may have done work for it. */
	hasOffered: boolean;
	isTimedOut: boolean;
};

export type AttemptEnd =
	| {kind: 'complete'; prefill: PrefillResult}
	| {kind: 'gone'}
	| AttemptFailure;

/** What an attempt holds on servers while it goes on. */
export type Attempt = {
	run: Run;
	services: RunServices;
	placement: Placement;
	key: AttemptKey;
	step: StepSignal;
	/** Servers that may hold something of it. */
	serversToRelease: Set<ServerEntry>;
	toRemainingMs: () => Milliseconds;
	/** No attempt of the request has failed yet. */
	isFirst: boolean;
};

/** A caller that already has a part of the answer waits for the rest also past the deadline. */
export function toRemainingMs(run: Run, now: Milliseconds): Milliseconds {
	const left = run.deadline - now;
	return run.buffer.offset() > 0 ? Math.max(left, run.rule.then.target.completeMs) : left;
}

/**
 * A server that refused, or that no byte reached, holds nothing. One that
 * refuses a duplicate has the first copy: to call that "not run" would let the
 * caller pay twice.
 */
export function isWithoutServerState(failure: StepFailure): boolean {
	return failure.isUnsent || failure.kind === 'unreachable' || (failure.kind === 'refused' && failure.reason !== 'duplicate');
}

export function toFailed(attempt: Attempt, step: AttemptStep, server: ServerEntry, failure: StepFailure): AttemptEnd {
	if (attempt.run.signal.aborted) {
		return {kind: 'gone'};
	}

	// A time-out is this host's own signal, but it says something about the server.
	const reported: EngineFailure = failure.isTimedOut && !failure.isUnsent ? {...failure, kind: 'broken', message: `no answer in time: ${failure.message}`} : failure;
	attempt.services.placement.noteFailure(server, reported, attempt.services.clock.now());
	if (reported.reason === 'leaving') {
		attempt.services.reportLeaving(server.id);
	}

	return {
		kind: 'failed', step, server, failure: reported, hasOffered: attempt.run.ledger.isOffered(), isTimedOut: failure.isTimedOut,
	};
}
