/** Headers that a request and its answer carry between two hosts only. */
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {type Outcome} from '../../../ports/outcome.js';
import {type PassedRequest} from '../../../ports/reach.js';
import {type AnswerHeaders} from '../../../ports/server-calls.js';

/** Milliseconds until the deadline. */
const timeLeftHeader = 'x-banyanport-time-left';
const editionHeader = 'x-banyanport-edition';
const runsHeader = 'x-banyanport-runs';

/** Header of a problem, as opposed to the answer of a server. */
export const outcomeHeader = 'x-banyanport-outcome';

/**
 * @param passed - What is stated about a request that is passed on.
 * @returns Its headers.
 */
export function toPassedHeaders({deadlineInMs, edition, runs}: PassedRequest): Record<string, string> {
	return {[timeLeftHeader]: String(Math.floor(deadlineInMs)), [editionHeader]: String(edition), [runsHeader]: String(runs)};
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
	const {[timeLeftHeader]: timeLeft, [editionHeader]: editionText, [runsHeader]: runsText, ...headers} = exchange.headers;
	const deadlineInMs = toNumber(timeLeft);
	const edition = toNumber(editionText);
	const runs = toNumber(runsText);
	return deadlineInMs === undefined || edition === undefined || runs === undefined
		? undefined
		: {...exchange, headers, passed: {deadlineInMs, edition, runs}};
}

/**
 * @param headers - Headers of an answer of another host.
 * @returns The outcome, if the answer is a problem of that host; `undefined` if it is the answer of a server.
 */
export function readOutcome(headers: AnswerHeaders): Outcome | undefined {
	const outcome = headers[outcomeHeader];
	return outcome === undefined ? undefined : (outcome === 'not-run' ? 'not-run' : 'may-have-run');
}
