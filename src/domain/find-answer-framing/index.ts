/** How the end of an HTTP answer's body is found (RFC 9112, 6.3). */
import {type AnswerHeaders} from '../../ports/server-calls.js';

/**
 * - `none`: the answer has no body.
 * - `length`: the body ends after a stated number of bytes.
 * - `chunks`: the body ends with its last chunk.
 * - `connection`: the body ends where its connection ends.
 */
export type AnswerFraming = 'none' | 'length' | 'chunks' | 'connection';

export type AnswerHead = {
	/** Method of the request. */
	method: string;
	status: number;
	/** Headers by lower-case name. */
	headers: AnswerHeaders;
};

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/**
 * @param head - Method of the request, status and headers of its final answer.
 * @returns How the end of the body is found.
 *
 * @example
 * ```ts
 * findAnswerFraming({method: 'GET', status: 200, headers: {'content-length': '12'}}); // => 'length'
 * findAnswerFraming({method: 'GET', status: 200, headers: {}}); // => 'connection'
 * ```
 */
export function findAnswerFraming({method, status, headers}: AnswerHead): AnswerFraming {
	if (method === 'HEAD' || statusesWithoutBody.has(status)) {
		return 'none';
	}

	const codings = headers['transfer-encoding'];
	if (codings !== undefined) {
		const last = String(codings).split(',').at(-1)!.trim().toLowerCase();
		return last === 'chunked' ? 'chunks' : 'connection';
	}

	return headers['content-length'] === undefined ? 'connection' : 'length';
}
