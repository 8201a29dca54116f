/** Outcomes of plain requests that end without an answer, with the problems that their callers are told. */
import {type PlacementRefusal} from '../../../../domain/create-placement/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type Outcome} from '../../../../ports/outcome.js';
import {msPerSecond} from '../../../../ports/units.js';
import {type PlainFault} from '../../send-plain/index.js';
import {hasServerOf, toOriginGone} from '../../_lib/servers-of-origin.js';
import {toQuarantineProblem, type QuarantineCause} from '../../_lib/quarantine.js';
import {toBodyProblem, toEndProblem} from '../../_lib/problems.js';
import {type EndCause} from '../../_lib/types.js';
import {type PlainOutcome, type PlainRun} from './types.js';

/** Multiplies a delay by a random factor from 0.5 to 1.5, so that callers refused together don't retry together. */
const addJitter = (run: PlainRun, ms: Milliseconds): Milliseconds => ms * (0.5 + run.ctx.services.random());

const toEnd = (outcome: Outcome): PlainOutcome['end'] => outcome === 'not-run' ? 'refused' : 'failed';

/**
 * Returns the outcome of an aborted request.
 *
 * @param run - The request.
 * @returns The outcome.
 */
export function toAborted(run: PlainRun): PlainOutcome {
	const outcome = run.ledger.outcome();
	const cause = run.signal.reason as EndCause;
	return cause === 'caller-gone'
		? {end: cause, outcome}
		: {end: toEnd(outcome), outcome, problem: toEndProblem(cause, outcome)};
}

/**
 * Returns the outcome of a request for which no server is left. The outcome covers
 * all calls of the request: an earlier one may have run, and a caller that is told
 * `not-run` because of the last pick alone could repeat work that was done.
 */
export function toNotPlaced(run: PlainRun, refusal: PlacementRefusal): PlainOutcome {
	const outcome = run.ledger.outcome();
	const origin = run.stream.origin();
	if (origin !== undefined && !hasServerOf(origin, run.ctx.services.toView())) {
		return {end: toEnd(outcome), outcome, problem: toOriginGone(origin, outcome)};
	}

	return {
		end: toEnd(outcome),
		outcome,
		problem: {
			kind: 'no-capacity', detail: `${refusal.message}.`, outcome, retryAfterMs: refusal.retryAfterMs,
		},
	};
}

/** Returns the outcome of a request that found all servers full. Servers that ask to back off also set the time from which they have capacity. */
export function toBounced(run: PlainRun, {reason, retryAfterMs}: PlacementRefusal): PlainOutcome {
	return {
		end: 'bounced', outcome: run.ledger.outcome(), ...((reason === 'paused' || reason === 'limited') && {capacityAt: run.ctx.services.clock.now() + retryAfterMs}),
	};
}

/** Returns the outcome of a quarantined request. */
export function toQuarantined(run: PlainRun, cause: QuarantineCause): PlainOutcome {
	const outcome = run.ledger.outcome();
	return {end: toEnd(outcome), outcome, problem: toQuarantineProblem(cause, outcome)};
}

/**
 * Returns the outcome of a request that is not retried after a failed call.
 *
 * @param run - The request.
 * @param called - Names the server or the host that was called, at the start of a sentence.
 * @param fault - Why the call failed.
 * @returns The outcome.
 */
export function toGivenUp(run: PlainRun, called: string, fault: PlainFault): PlainOutcome {
	const bodyFault = run.body.fault();
	const outcome = run.ledger.outcome();
	if (bodyFault !== undefined) {
		const {maxBodyBytes: limitBytes, bodyTimeoutMs: timeoutMs} = run.ctx.limits;
		return {end: 'failed', outcome, problem: {...toBodyProblem(bodyFault, {limitBytes, timeoutMs}), outcome}};
	}

	if (run.ctx.services.clock.now() >= run.deadline) {
		return {end: 'failed', outcome, problem: {kind: 'deadline-passed', detail: `${called} had not begun its answer when the deadline passed.`, outcome}};
	}

	if (fault.kind === 'refused' && outcome === 'not-run') {
		return {
			end: 'refused', outcome, problem: {
				kind: 'no-capacity', detail: `${called} refused the request: ${fault.reason}.`, outcome, retryAfterMs: addJitter(run, msPerSecond),
			},
		};
	}

	const again = outcome === 'not-run' ? 'Nothing was sent; send the request again.' : 'A server received the request and may have run it.';
	return {
		end: toEnd(outcome),
		outcome,
		problem: {
			kind: 'backend-failed', detail: `${called} failed: ${fault.kind}. ${again}`, outcome, ...(outcome === 'not-run' && {retryAfterMs: addJitter(run, msPerSecond)}),
		},
	};
}
