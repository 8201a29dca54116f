import {type ClaimRefusal} from '../../../../domain/claim-key/index.js';
import {type JoinFault} from '../../../../domain/create-run-table/index.js';
import {type Problem} from '../../../../domain/to-problem/index.js';
import {type HostId} from '../../../../ports/ids.js';
import {msPerSecond} from '../../../../ports/units.js';

/** Returns the problem for a caller whose key could not be claimed. */
export function toClaimProblem(refusal: ClaimRefusal): Problem {
	return refusal.kind === 'conflict'
		? {kind: 'key-reused', detail: refusal.message, outcome: 'not-run'}
		: {
			kind: 'claim-unavailable', detail: refusal.message, outcome: refusal.outcome, retryAfterMs: refusal.retryAfterMs,
		};
}

const joinProblems: Readonly<Record<Exclude<JoinFault, 'unknown'>, Problem>> = {
	'other-body': {kind: 'key-reused', detail: 'Idempotency-Key was used before with another body: use a new key for new work.', outcome: 'not-run'},
	'not-kept': {kind: 'key-used', detail: 'The work of this Idempotency-Key ran, and its answer is no longer kept.', outcome: 'ran'},
	broken: {kind: 'key-used', detail: 'The work of this Idempotency-Key was broken off while it ran; as it is not repeatable, it is not run again.', outcome: 'may-have-run'},
};

/** Returns the problem for a caller whose key belongs to a run that cannot be joined. */
export function toJoinProblem(fault: Exclude<JoinFault, 'unknown'>): Problem {
	return joinProblems[fault];
}

/** Returns the problem for a caller whose key is held by an unreachable host, or, if `host` is `undefined`, was contended for too long. */
export function toLostProblem(host: HostId | undefined): Problem {
	const detail = host === undefined
		? 'Several requests with this Idempotency-Key came at once, and none could claim it in time. Send the same key again.'
		: `The work of this Idempotency-Key was taken by host ${host}, which cannot be reached. It is not run again; send the same key again to ask for its answer.`;
	return {
		kind: 'claim-unavailable', detail, outcome: 'may-have-run', retryAfterMs: msPerSecond,
	};
}
