/**
 * Problem documents (RFC 9457) with which requests are refused or broken off.
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
	'header-too-large': [431, 'The headers are too large'],
	'answer-lost': [502, 'The answer was lost'],
	'backend-failed': [502, 'The backend server failed'],
	'claim-unavailable': [503, 'The request could not be claimed'],
	'no-capacity': [503, 'No backend server can take the request'],
	'no-configuration': [503, 'No configuration is in force yet'],
	quarantined: [503, 'The request crashes backend servers'],
	stopping: [503, 'This host is stopping'],
	'too-many-connections': [503, 'Too many connections are open'],
	'target-missed': [503, 'The request would miss its target'],
	'deadline-passed': [504, 'The deadline has passed'],
	internal: [500, 'The router failed'],
} as const satisfies Record<string, readonly [number, string]>;

export type ProblemKind = keyof typeof problemKinds;

export type Problem = {
	kind: ProblemKind;
	/** What went wrong here and what the caller can do about it. */
	detail: string;
	outcome: Outcome;
	/** When coming back makes sense. */
	retryAfterMs?: Milliseconds | undefined;
};

/** A problem as it goes over HTTP. */
export type ProblemDocument = {
	status: number;
	headers: Record<string, string>;
	body: string;
};

/** How problems are written where callers expect other than the usual. */
export type ProblemStyle = {
	/** Statuses in place of the usual ones. */
	statuses?: Readonly<Partial<Record<ProblemKind, number>>>;
	/** Callers read the status alone, and conclude from it whether the request ran. */
	isOutcomeInStatus?: boolean;
	/** Callers read `Retry-After` with fractions of a second. */
	hasFractionalSeconds?: boolean;
};

/** Statuses by which callers conclude that nothing ran and nothing will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Statuses that tell a caller nothing about whether its request ran. */
const ambiguousStatuses: ReadonlySet<number> = new Set([502, 504]);

/**
 * A caller sends its request again after a status that means "not run". Given
 * for work that a server may have taken, it would run twice; withheld from work
 * that nobody took, the caller would give up for nothing.
 */
function toOutcomeStatus(status: number, outcome: Outcome): number {
	if (outcome !== 'not-run') {
		return notRunStatuses.has(status) ? 502 : status;
	}

	return ambiguousStatuses.has(status) ? 503 : status;
}

function toRetryAfterText(retryAfterMs: Milliseconds, {hasFractionalSeconds: hasFractions = false}: ProblemStyle): string {
	const seconds = retryAfterMs / msPerSecond;
	return hasFractions ? seconds.toFixed(2) : String(Math.max(1, Math.ceil(seconds)));
}

/**
 * Writes a problem as an RFC 9457 document. Its `outcome` says what the caller
 * may conclude, and `Retry-After` when to come back, so that nobody has to be
 * held back to slow them down.
 *
 * @param problem - What went wrong.
 * @param requestId - Id of the request, by which operators find its account.
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
