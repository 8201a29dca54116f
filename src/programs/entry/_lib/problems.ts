/** Problems shared by the handlers of all kinds of requests. */
import {type BodyFault, type CallerExchange} from '../../../adapters/caller-http/index.js';
import {type Problem} from '../../../domain/to-problem/index.js';
import {msPerSecond} from '../../../ports/units.js';
import {type GateRefusal} from '../gate/index.js';
import {type ServeContext} from './serve-types.js';
import {type EndCause} from './types.js';

/**
 * @param fault - Why a body was refused.
 * @param limits - Limits of the body, bytes and milliseconds.
 * @returns The problem to answer with.
 */
export function toBodyProblem(fault: Exclude<BodyFault, 'gone'>, limits: {limitBytes: number; timeoutMs: number}): Problem {
	switch (fault) {
		case 'body-too-large': {
			return {kind: fault, detail: `The body has more than ${limits.limitBytes} bytes. Send less.`, outcome: 'not-run'};
		}

		case 'stopping': {
			return {
				kind: fault, detail: 'This host stops before the body has arrived. Nothing was sent; send the request again, to another host.', outcome: 'not-run', retryAfterMs: 0,
			};
		}

		case 'slow-request': {
			return {kind: fault, detail: `The body did not arrive within ${limits.timeoutMs / msPerSecond} s. Send it faster.`, outcome: 'not-run'};
		}
	}
}

/** Answer to all requests before the first view with a configuration, as no rule can be matched. */
export const noConfiguration: Problem = {
	kind: 'no-configuration', detail: 'This host has no configuration yet.', outcome: 'not-run', retryAfterMs: msPerSecond,
};

/**
 * @param detail - Why the host's own configuration does not allow the request.
 * @returns Answer of a host that may lack a newer configuration, which may allow the request.
 */
export function toBehindProblem(detail: string): Problem {
	return {
		kind: 'no-configuration', detail: `${detail} This host may lack the newest configuration; send the request again.`, outcome: 'not-run', retryAfterMs: msPerSecond,
	};
}

/**
 * Finds whether this host lacks the configuration by which another host passed a
 * request on. If it decided by an older one, the caller would see rules go back.
 *
 * @param exchange - The request.
 * @param ctx - Services of the entry.
 * @returns The problem if it does; `undefined` for a request of a caller of this host.
 */
export function findBehind({passed}: CallerExchange, {services}: ServeContext): Problem | undefined {
	const edition = services.toView()?.accepted?.version.edition ?? 0;
	return passed !== undefined && edition < passed.edition ? toBehindProblem(`The request was allowed by edition ${passed.edition}.`) : undefined;
}

const endDetails = {
	'deadline-passed': 'The deadline passed before the answer began.',
	stopping: 'This host was stopped before the answer was whole.',
} as const satisfies Readonly<Partial<Record<EndCause, string>>>;

/**
 * @param cause - Why a request was aborted while its caller was still connected.
 * @param outcome - Outcome of the request.
 * @returns The problem to answer with.
 */
export function toEndProblem(cause: keyof typeof endDetails, outcome: Problem['outcome']): Problem {
	return {
		kind: cause, detail: endDetails[cause], outcome, ...(outcome === 'not-run' && {retryAfterMs: msPerSecond}),
	};
}

const gateProblems: Readonly<Record<GateRefusal['reason'], Pick<Problem, 'kind' | 'detail'>>> = {
	'no-capacity': {kind: 'no-capacity', detail: 'No server of the pool is known to be in service.'},
	'queue-full': {kind: 'queue-full', detail: 'The queue of the rule is full.'},
	'too-late': {kind: 'target-missed', detail: 'With the requests queued ahead of it, the request would miss its target.'},
	duplicate: {kind: 'internal', detail: 'The request is already waiting.'},
	gone: {kind: 'deadline-passed', detail: 'The request was ended while it waited.'},
};

/**
 * @param refusal - Why a request was not admitted.
 * @param outcome - Outcome of the request.
 * @returns The problem, which is the final answer.
 */
export function toGateProblem(refusal: GateRefusal, outcome: Problem['outcome']): Problem {
	const retryAfterMs = 'retryAfterMs' in refusal ? refusal.retryAfterMs : undefined;
	return {...gateProblems[refusal.reason], outcome, retryAfterMs};
}

/**
 * Checks whether this host is behind, and the limits of the whole process. Each rule
 * has limits of its own, whose sum may be more than the process can hold.
 *
 * @param exchange - The request.
 * @param ctx - Services of the entry.
 * @returns The problem if the request has waited too long to be started, or if a limit is reached.
 */
export function findOverload(exchange: CallerExchange, ctx: ServeContext): Problem | undefined {
	const {limits, registry, services} = ctx;
	if (exchange.isOverdue()) {
		return {
			kind: 'host-behind', detail: 'This host could not start the request in time. Nothing was sent; send the request again.', outcome: 'not-run', retryAfterMs: msPerSecond * (0.5 + services.random()),
		};
	}

	const isFull = registry.size() >= limits.maxInFlight || services.gate.waiting() >= limits.maxQueued;
	return isFull
		? {
			kind: 'queue-full', detail: 'This host has reached its limit of requests.', outcome: 'not-run', retryAfterMs: msPerSecond,
		}
		: undefined;
}
