/** Headers of a request that is passed on, and the head of its answer. */
import {toForwardHeaders} from '../../../../domain/to-forward-headers/index.js';
import {type AnswerHeaders} from '../../../../ports/server-calls.js';
import {findHeadFault, toRemainingMs} from '../../call-plain/_lib/send-step.js';
import {type PlainRun} from '../../call-plain/_lib/types.js';
import {readOrigin, readOutcome, toPassedHeaders} from '../../_lib/passed-headers.js';
import {type PlainFault} from '../../send-plain/index.js';

/**
 * Checks the head of another host's answer, which is either the answer of a server
 * or a problem of that host.
 *
 * @param run - The request.
 * @param status - Status of the answer.
 * @param headers - Its headers by lower-case name.
 * @returns Why the answer is not relayed; `undefined` if it is.
 */
export function findPeerFault(run: PlainRun, status: number, headers: AnswerHeaders): PlainFault | undefined {
	const outcome = readOutcome(headers);
	if (outcome === undefined) {
		return run.stream.accepts(readOrigin(headers))
			? findHeadFault(run, status, headers)
			: {kind: 'invalid', message: 'the other host does not tell that its server continues the stream'};
	}

	const message = `the other host answered ${status}`;
	return outcome === 'not-run' ? {kind: 'not-run', message} : {kind: 'failed-answer', message};
}

/**
 * @param run - The request.
 * @returns Headers with which it is passed on.
 */
export function toPassedCallHeaders(run: PlainRun): Record<string, string | string[]> {
	const {exchange, route, events} = run;
	return {
		...toForwardHeaders(exchange.headers) as Record<string, string>,
		...toPassedHeaders({
			deadlineInMs: toRemainingMs(run), edition: route.edition, runs: run.runs, stream: {origin: run.stream.origin()},
		}),
		...(events?.lastId !== undefined && {'last-event-id': events.lastId}),
	};
}
