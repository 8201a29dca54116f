/**
 * Writes the problem documents (RFC 9457) of refused and aborted requests.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type RequestId} from '../../ports/ids.js';
import {type Outcome} from '../../ports/outcome.js';
import {msPerSecond} from '../../ports/units.js';

/** HTTP status and title of each kind of problem. */
const problemKinds = {
	'bad-request': [400, 'The request is not valid'],
	'bad-json': [400, 'The body is not JSON'],
	'key-required': [400, 'An Idempotency-Key is required'],
	'key-invalid': [400, 'The Idempotency-Key is not valid'],
	unauthorized: [401, 'The caller is not known'],
	'no-rule': [403, 'No rule covers the request'],
	'not-found': [404, 'There is nothing at this path'],
	'unknown-model': [404, 'The model is not served'],
	'method-not-allowed': [405, 'The method is not allowed here'],
	'slow-request': [408, 'The request came too slowly'],
	'key-used': [409, 'The Idempotency-Key was used'],
	'body-too-large': [413, 'The body is too large'],
	'prompt-too-long': [413, 'The prompt is too long'],
	'wrong-media-type': [415, 'The body is not of a supported type'],
	'key-reused': [422, 'The Idempotency-Key was used with another body'],
	'queue-full': [429, 'Too much is waiting'],
	'over-limit': [429, 'The workspace has used its limit'],
	'header-too-large': [431, 'The headers are too large'],
	'answer-lost': [502, 'The answer was lost'],
	'backend-failed': [502, 'The backend server failed'],
	'claim-unavailable': [503, 'The request could not be claimed'],
	'connection-outdated': [503, 'The connection has an older limit'],
	'host-behind': [503, 'The host is behind'],
	'no-capacity': [503, 'No backend server can take the request'],
	'origin-gone': [503, 'No server can continue the stream'],
	'origin-unknown': [503, 'It is not known which servers can continue the stream'],
	'no-configuration': [503, 'No configuration is in force yet'],
	quarantined: [503, 'The request crashes backend servers'],
	'part-quarantined': [503, 'A part of the prompt crashes backend servers'],
	stopping: [503, 'This host is stopping'],
	'too-many-connections': [503, 'Too many connections are open'],
	'target-missed': [503, 'The request would miss its target'],
	'deadline-passed': [504, 'The deadline has passed'],
	internal: [500, 'The router failed'],
} as const satisfies Record<string, readonly [number, string]>;

export type ProblemKind = keyof typeof problemKinds;

export type Problem = {
	kind: ProblemKind;
	/** Says what went wrong, and what the caller can do. */
	detail: string;
	outcome: Outcome;
	/** Time after which a retry makes sense. */
	retryAfterMs?: Milliseconds | undefined;
};

/** A problem as an HTTP response. */
export type ProblemDocument = {
	status: number;
	headers: Record<string, string>;
	body: string;
};

/** Deviations from the usual form, for callers that expect them. */
export type ProblemStyle = {
	/** Statuses that replace the usual ones, by kind. */
	statuses?: Readonly<Partial<Record<ProblemKind, number>>>;
	/** Whether callers conclude from the status alone whether the request ran. */
	isOutcomeInStatus?: boolean;
	/** Whether callers accept fractions of a second in `Retry-After`. */
	hasFractionalSeconds?: boolean;
	/** Header that tells the outcome, so that other hosts tell a problem from the answer of a server. */
	outcomeHeader?: string;
};

/** Statuses from which callers conclude that the request did not run and will not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Statuses that tell a caller nothing about whether its request ran. */
const ambiguousStatuses: ReadonlySet<number> = new Set([502, 504]);

/**
 * Replaces a status that contradicts the outcome. A caller repeats its request
 * after a status that means "not run". If work that a server may have accepted got
 * such a status, the work would run twice; if work that no server accepted got
 * another status, the caller would give up needlessly.
 */
function toOutcomeStatus(status: number, outcome: Outcome): number {
	if (outcome !== 'not-run') {
		return notRunStatuses.has(status) ? 502 : status;
	}

	return ambiguousStatuses.has(status) ? 503 : status;
}

function toRetryAfterText(retryAfterMs: Milliseconds, {hasFractionalSeconds = false}: ProblemStyle): string {
	const seconds = retryAfterMs / msPerSecond;
	return hasFractionalSeconds ? seconds.toFixed(2) : String(Math.max(1, Math.ceil(seconds)));
}

/**
 * Writes a problem as an RFC 9457 document. The `outcome` tells the caller whether
 * the request ran, and `Retry-After` tells when to retry, so that the router need
 * not hold requests back to slow callers down.
 *
 * @param problem - What went wrong.
 * @param requestId - Id of the request, by which operators find the request's account.
 * @param style - Statuses and form that the callers of this host expect.
 * @returns Status, headers and body.
 *
 * @example
 * ```ts
 * toProblem({kind: 'queue-full', detail: 'Come back later.', outcome: 'not-run', retryAfterMs: 1200}, 'r1').headers;
 * // => {'content-type': 'application/problem+json', 'retry-after': '2'}
 * ```
 */
export function toProblem(problem: Problem, requestId: RequestId, style: ProblemStyle = {}): ProblemDocument {
	const [usualStatus, title] = problemKinds[problem.kind];
	const kindStatus = style.statuses?.[problem.kind] ?? usualStatus;
	const status = style.isOutcomeInStatus === true ? toOutcomeStatus(kindStatus, problem.outcome) : kindStatus;
	const headers: Record<string, string> = {'content-type': 'application/problem+json'};
	if (problem.retryAfterMs !== undefined) {
		headers['retry-after'] = toRetryAfterText(problem.retryAfterMs, style);
	}

	if (style.outcomeHeader !== undefined) {
		headers[style.outcomeHeader] = problem.outcome;
	}

	const body = JSON.stringify({
		type: `urn:banyanport:problem:${problem.kind}`,
		title,
		status,
		detail: problem.detail,
		outcome: problem.outcome,
		requestId,
	});
	return {status, headers, body};
}
