/** How the calls of a plain request end without an answer, and what its caller may conclude. */
import {type PlacementRefusal} from '../../../../domain/create-placement/index.js';
import {type ServerEntry} from '../../../../ports/config.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type Outcome} from '../../../../ports/outcome.js';
import {msPerSecond} from '../../../../ports/units.js';
import {type PlainFault} from '../../send-plain/index.js';
import {toQuarantineProblem} from '../../_lib/quarantine.js';
import {toBodyProblem, toEndProblem} from '../../_lib/problems.js';
import {type EndCause} from '../../_lib/types.js';
import {type PlainOutcome, type PlainRun} from './types.js';

/** Half to one and a half times the delay: callers refused together don't come back together. */
const addJitter = (run: PlainRun, ms: Milliseconds): Milliseconds => ms * (0.5 + run.ctx.services.random());

const toEnd = (outcome: Outcome): PlainOutcome['end'] => outcome === 'not-run' ? 'refused' : 'failed';

/**
 * The end of a request that was told to end.
 *
 * @param run - The request.
 * @returns How it ended.
 */
export function toAborted(run: PlainRun): PlainOutcome {
	const outcome = run.ledger.outcome();
	const cause = run.signal.reason as EndCause;
	return cause === 'caller-gone'
		? {end: cause, outcome}
		: {end: toEnd(outcome), outcome, problem: toEndProblem(cause, outcome)};
}

/**
 * The end of a request that no server is left for. An earlier call of it may
 * have been taken: "not run" of the last pick alone would let the caller send
 * work again that was done.
 */
export function toNotPlaced(run: PlainRun, refusal: PlacementRefusal): PlainOutcome {
	const outcome = run.ledger.outcome();
	return {
		end: toEnd(outcome),
		outcome,
		problem: {
			kind: 'no-capacity', detail: `${refusal.message}.`, outcome, retryAfterMs: refusal.retryAfterMs,
		},
	};
}

/** A request that found no room now. Servers that ask to back off say until when. */
export function toBounced(run: PlainRun, {reason, retryAfterMs}: PlacementRefusal): PlainOutcome {
	return {
		end: 'bounced', outcome: run.ledger.outcome(), ...(reason === 'paused' && {capacityAt: run.ctx.services.clock.now() + retryAfterMs}),
	};
}

/** The end of a request that crashes the servers that run it. */
export function toQuarantined(run: PlainRun): PlainOutcome {
	const outcome = run.ledger.outcome();
	return {end: toEnd(outcome), outcome, problem: toQuarantineProblem(outcome)};
}

/** The end of a request that is not sent again after a failed call. */
export function toGivenUp(run: PlainRun, server: ServerEntry, fault: PlainFault): PlainOutcome {
	const bodyFault = run.body.fault();
	const outcome = run.ledger.outcome();
	if (bodyFault !== undefined) {
		const {maxBodyBytes: limitBytes, bodyTimeoutMs: timeoutMs} = run.ctx.limits;
		return {end: 'failed', outcome, problem: {...toBodyProblem(bodyFault, {limitBytes, timeoutMs}), outcome}};
	}

	if (run.ctx.services.clock.now() >= run.deadline) {
		return {end: 'failed', outcome, problem: {kind: 'deadline-passed', detail: `Server ${server.id} had not begun its answer at the deadline.`, outcome}};
	}

	if (fault.kind === 'refused' && outcome === 'not-run') {
		return {
			end: 'refused', outcome, problem: {
				kind: 'no-capacity', detail: `Server ${server.id} refused the request: ${fault.reason}.`, outcome, retryAfterMs: addJitter(run, msPerSecond),
			},
		};
	}

	const again = outcome === 'not-run' ? 'Nothing was sent; send the request again.' : 'A server had the request, whose fate is not known.';
	return {
		end: toEnd(outcome),
		outcome,
		problem: {
			kind: 'backend-failed', detail: `Server ${server.id} failed: ${fault.kind}. ${again}`, outcome, ...(outcome === 'not-run' && {retryAfterMs: addJitter(run, msPerSecond)}),
		},
	};
}
