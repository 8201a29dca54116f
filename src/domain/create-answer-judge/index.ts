/**
 * Decides whether an answer of a server is whole. Nothing else may call an answer
 * whole: not the end of a connection, and not the end of a parser's input.
 */
import {createEventScanner} from '../create-event-scanner/index.js';
import {findAnswerFraming, type AnswerFraming, type AnswerHead} from '../find-answer-framing/index.js';

/**
 * - `whole`: nothing is missing.
 * - `short` or `long`: the body has fewer or more bytes than the head states.
 * - `inside-event`: a stream of events stopped before the end of an event.
 * - `no-event`: a stream of events whose end is the end of its connection has none.
 */
export type AnswerVerdict = 'whole' | 'short' | 'long' | 'inside-event' | 'no-event';

export type AnswerJudge = {
	framing: AnswerFraming;
	/** Takes the next bytes of the body. */
	add: (bytes: Uint8Array) => void;
	/** Judges the answer once its transport has ended without an error: at the end that the framing states or, without one, because the server closed the connection in order. */
	judge: () => AnswerVerdict;
};

const toWord = (header: AnswerHead['headers'][string]): string => String(header ?? '').split(';', 1)[0]!.trim().toLowerCase();

/** Whether the bytes of the body are events. Those of an encoded body are not. */
function isEventStream({headers}: AnswerHead): boolean {
	return toWord(headers['content-type']) === 'text/event-stream' && ['', 'identity'].includes(toWord(headers['content-encoding']));
}

function judgeLength(received: number, {headers}: AnswerHead): AnswerVerdict {
	const missing = Number(headers['content-length']) - received;
	if (missing === 0) {
		return 'whole';
	}

	return missing > 0 ? 'short' : 'long';
}

/**
 * Creates the judge of one answer.
 *
 * An answer with neither a length nor chunks ends with its connection, and a server
 * that fails in the middle may close its connection in order. For a stream of events
 * the bytes tell: a whole one ends between two events. The end of any other such
 * answer can't be told from its content, and an orderly end is taken as its end.
 *
 * @param head - Method of the request, status and headers of the answer.
 * @returns The judge; it has seen no byte of the body.
 *
 * @example
 * ```ts
 * const judge = createAnswerJudge({method: 'GET', status: 200, headers: {'content-type': 'text/event-stream'}});
 * judge.add(Buffer.from('id: 1\ndata: x'));
 * judge.judge(); // => 'inside-event'
 * ```
 */
export function createAnswerJudge(head: AnswerHead): AnswerJudge {
	const framing = findAnswerFraming(head);
	const events = framing === 'connection' && isEventStream(head) ? createEventScanner() : undefined;
	let received = 0;

	function judgeEvents(): AnswerVerdict {
		if (events?.isBetweenEvents() === false) {
			return 'inside-event';
		}

		return events?.count() === 0 ? 'no-event' : 'whole';
	}

	return {
		framing,
		add(bytes) {
			received += bytes.length;
			events?.add(bytes);
		},
		judge: () => framing === 'length' ? judgeLength(received, head) : judgeEvents(),
	};
}
