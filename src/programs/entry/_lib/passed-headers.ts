/** Headers that a request and its answer carry between two hosts only. */
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {type Outcome} from '../../../ports/outcome.js';
import {type StreamOrigin} from '../../../ports/stream-origins.js';
import {type PassedRequest} from '../../../ports/reach.js';
import {type AnswerHeaders} from '../../../ports/server-calls.js';

/** Milliseconds until the deadline. */
const timeLeftHeader = 'x-banyanport-time-left';
const editionHeader = 'x-banyanport-edition';
const runsHeader = 'x-banyanport-runs';
/** Where the stream of a request, or of an answer, began. */
export const originHeader = 'x-banyanport-origin';
/** Value for a stream that has not begun. */
const noOrigin = 'none';

/** Header of a problem, as opposed to the answer of a server. */
export const outcomeHeader = 'x-banyanport-outcome';

/** Parameters of the header's value. */
const poolName = 'pool';
const versionName = 'software-version';

/**
 * @param origin - Where a stream began; `undefined` if it has not begun, or its origin is not known.
 * @returns The header that tells it to another host.
 */
export function toOriginHeader(origin: StreamOrigin | undefined): Record<string, string> {
	if (origin === undefined) {
		return {[originHeader]: noOrigin};
	}

	const {pool, softwareVersion} = origin;
	const values = new URLSearchParams({[poolName]: pool, ...(softwareVersion !== undefined && {[versionName]: softwareVersion})});
	return {[originHeader]: values.toString()};
}

function parseOrigin(text: string): StreamOrigin | undefined {
	const values = new URLSearchParams(text);
	const pool = values.get(poolName);
	return pool === null ? undefined : {pool, softwareVersion: values.get(versionName) ?? undefined};
}

/**
 * @param headers - Headers of an answer of another host.
 * @returns Where the stream of the answer began; `undefined` if the host does not tell it.
 */
export function readOrigin(headers: AnswerHeaders): StreamOrigin | undefined {
	const text = headers[originHeader];
	return typeof text === 'string' ? parseOrigin(text) : undefined;
}

/** Reads what another host tells of the stream; `undefined` if it tells nothing or something else. */
function parseStream(text: string | undefined): PassedRequest['stream'] {
	if (text === undefined) {
		return undefined;
	}

	const origin = parseOrigin(text);
	return text === noOrigin || origin !== undefined ? {origin} : undefined;
}

/**
 * @param passed - What is stated about a request that is passed on.
 * @returns Its headers.
 */
export function toPassedHeaders({deadlineInMs, edition, runs, stream}: PassedRequest): Record<string, string> {
	return {
		[timeLeftHeader]: String(Math.floor(deadlineInMs)), [editionHeader]: String(edition), [runsHeader]: String(runs), ...(stream && toOriginHeader(stream.origin)),
	};
}

function toNumber(header: string | undefined): number | undefined {
	const value = Number(header ?? Number.NaN);
	return Number.isSafeInteger(value) && value >= 0 ? value : undefined;
}

/**
 * Reads what another host states about a request that it passed on, and removes it
 * from the headers.
 *
 * @param exchange - The request.
 * @returns The request as its caller sent it; `undefined` if the statements are missing or invalid.
 */
export function readPassed(exchange: CallerExchange): CallerExchange | undefined {
	const {
		[timeLeftHeader]: timeLeft, [editionHeader]: editionText, [runsHeader]: runsText, [originHeader]: streamText, ...headers
	} = exchange.headers;
	const stream = parseStream(streamText);
	const deadlineInMs = toNumber(timeLeft);
	const edition = toNumber(editionText);
	const runs = toNumber(runsText);
	return deadlineInMs === undefined || edition === undefined || runs === undefined
		? undefined
		: {
			...exchange, headers, passed: {
				deadlineInMs, edition, runs, ...(stream && {stream}),
			},
		};
}

/**
 * @param headers - Headers of an answer of another host.
 * @returns The outcome, if the answer is a problem of that host; `undefined` if it is the answer of a server.
 */
export function readOutcome(headers: AnswerHeaders): Outcome | undefined {
	const outcome = headers[outcomeHeader];
	return outcome === undefined ? undefined : (outcome === 'not-run' ? 'not-run' : 'may-have-run');
}
