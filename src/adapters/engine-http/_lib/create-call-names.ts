/** Names calls to an engine, so that an answer can be told from that to another call. */
import {judgeAnswerOwner, type AnswerOwner} from '../../../domain/judge-answer-owner/index.js';
import {type AnswerHeaders, type AnswerMarks} from '../../../ports/server-calls.js';

/** Header in which an engine repeats the name of the call that it answers. */
const callHeader = 'x-call-id';

/** Name of one call. */
export type CallName = {
	headers: Record<string, string>;
	/** Decides whether an answer belongs to the call; one that names none does, as not every engine names calls. */
	toOwner: (status: number, headers: AnswerHeaders) => AnswerOwner;
};

function readMarks(status: number, headers: AnswerHeaders): AnswerMarks | undefined {
	const named = headers[callHeader];
	return named === undefined ? undefined : {name: String(named), kind: status < 300 ? 'success' : 'failure', isSealed: false};
}

/**
 * Creates the names of the calls of one client, which are unique on its connections.
 *
 * @returns Function that names the next call.
 */
export function createCallNames(): () => CallName {
	let count = 0;
	return () => {
		count++;
		const name = String(count);
		return {
			headers: {[callHeader]: name},
			toOwner: (status, headers) => judgeAnswerOwner({kind: 'named', name}, readMarks(status, headers)),
		};
	};
}
