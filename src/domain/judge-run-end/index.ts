/** Decides what the end of a call tells about the server that ran the request. */
import {type AnswerFraming} from '../find-answer-framing/index.js';

/**
 * How a call that carried the request ended, as this host sees it.
 *
 * - `answered`: a whole answer. `isRun`: it is the answer to the request itself, and not only to the computation of its prompt.
 * - `closed`: the server closed the connection before the answer was whole.
 * - `not-run`: no server began to run the request, or the server itself stated that it did not.
 * - `failed`: the server ran the request and reported a failure.
 * - `without-answer`: this host ended the call, because its caller left, the server was silent, or what it sent was no answer to the request.
 */
export type RunEnd =
	| {kind: 'answered'; status: number; framing: AnswerFraming; isRun: boolean}
	| {kind: 'closed' | 'not-run' | 'failed' | 'without-answer'};

/**
 * - `survived`: the server ran the request and went on.
 * - `survived-if-alive`: the answer looks whole, but a server that ends leaves the same; the server's later answers tell.
 * - `crashed-unless-alive`: the server counts as ended, until it answers a later call.
 * - `crashed-if-ended`: the server counts as ended only once that is known from elsewhere.
 * - `none`: the end tells nothing about what the request does to a server.
 */
export type RunVerdict = 'survived' | 'survived-if-alive' | 'crashed-unless-alive' | 'crashed-if-ended' | 'none';

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/**
 * Judges the end of a call.
 *
 * Only a whole successful answer proves that a server survived the request: a server
 * may send an error without running it.
 *
 * @param end - How the call ended.
 * @returns See {@link RunVerdict}.
 *
 * @example
 * ```ts
 * judgeRunEnd({kind: 'answered', status: 200, framing: 'length', isRun: true}); // => 'survived'
 * judgeRunEnd({kind: 'answered', status: 200, framing: 'connection', isRun: true}); // => 'survived-if-alive'
 * judgeRunEnd({kind: 'closed'}); // => 'crashed-unless-alive'
 * ```
 */
export function judgeRunEnd(end: RunEnd): RunVerdict {
	switch (end.kind) {
		case 'answered': {
			return judgeAnswer(end);
		}

		case 'closed': {
			return 'crashed-unless-alive';
		}

		case 'without-answer': {
			return 'crashed-if-ended';
		}

		case 'not-run':
		case 'failed': {
			return 'none';
		}
	}
}

function judgeAnswer({status, framing, isRun}: Extract<RunEnd, {kind: 'answered'}>): RunVerdict {
	if (framing === 'connection') {
		return isRun && isSuccess(status) ? 'survived-if-alive' : 'crashed-if-ended';
	}

	return isRun && isSuccess(status) ? 'survived' : 'none';
}
