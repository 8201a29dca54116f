/** Problems that several kinds of requests are refused with. */
import {type BodyFault} from '../../../adapters/caller-http/index.js';
import {type Problem} from '../../../domain/to-problem/index.js';
import {msPerSecond} from '../../../ports/units.js';
import {type GateRefusal} from '../gate/index.js';
import {type ServeContext} from './serve-types.js';
import {type EndCause} from './types.js';

/**
 * @param fault - Why a body was not taken.
 * @param limits - Bytes and milliseconds that were allowed.
 * @returns The problem.
 */
export function toBodyProblem(fault: BodyFault, limits: {limitBytes: number; timeoutMs: number}): Problem {
	return fault === 'body-too-large'
		? {kind: 'body-too-large', detail: `The body has more than ${limits.limitBytes} bytes. Send less.`, outcome: 'not-run'}
		: {kind: 'slow-request', detail: `The body did not arrive within ${limits.timeoutMs / msPerSecond} s. Send it faster.`, outcome: 'not-run'};
}

/** Before the first view with a configuration, nothing can be decided. */
export const noConfiguration: Problem = {
	kind: 'no-configuration', detail: 'This host has no configuration yet.', outcome: 'not-run', retryAfterMs: msPerSecond,
};

const endDetails = {
	'deadline-passed': 'The deadline passed before the answer began.',
	stopping: 'This host was stopped before the answer was whole.',
} as const satisfies Readonly<Partial<Record<EndCause, string>>>;

/**
 * @param cause - Why a request was told to end, its caller still there.
 * @param outcome - What is known of it.
 * @returns The problem.
 */
export function toEndProblem(cause: keyof typeof endDetails, outcome: Problem['outcome']): Problem {
	return {
		kind: cause, detail: endDetails[cause], outcome, ...(outcome === 'not-run' && {retryAfterMs: msPerSecond}),
	};
}

const gateProblems: Readonly<Record<GateRefusal['reason'], Pick<Problem, 'kind' | 'detail'>>> = {
	'no-capacity': {kind: 'no-capacity', detail: 'No server of the pool is known to serve.'},
	'queue-full': {kind: 'queue-full', detail: 'As much as the rule lets wait is waiting.'},
	'too-late': {kind: 'target-missed', detail: 'By what is ahead of it, the request would miss its target.'},
	duplicate: {kind: 'internal', detail: 'The request is already waiting.'},
	gone: {kind: 'deadline-passed', detail: 'The request was ended while it waited.'},
};

/**
 * @param refusal - Why a request may not start.
 * @param outcome - What is known of it.
 * @returns The problem, which is the final answer and is given at once.
 */
export function toGateProblem(refusal: GateRefusal, outcome: Problem['outcome']): Problem {
	const retryAfterMs = 'retryAfterMs' in refusal ? refusal.retryAfterMs : undefined;
	return {...gateProblems[refusal.reason], outcome, retryAfterMs};
}

/**
 * Looks at the bounds over all rules, so that no rule's own bounds add up to
 * more than the process can hold.
 *
 * @param ctx - The program.
 * @returns The problem when there is no room.
 */
export function findOverload(ctx: ServeContext): Problem | undefined {
	const {limits, registry, services} = ctx;
	const isFull = registry.size() >= limits.maxInFlight || services.gate.waiting() >= limits.maxQueued;
	return isFull
		? {
			kind: 'queue-full', detail: 'This host has as many requests as it takes.', outcome: 'not-run', retryAfterMs: msPerSecond,
		}
		: undefined;
}
