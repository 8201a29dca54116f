/** Reads a small HTTP answer completely. */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {
	dispatchCall, type Call, type CallFault, type CallFlow,
} from '../dispatch-call/index.js';

export type WholeAnswer = {
	status: number;
	headers: Record<string, string | string[] | undefined>;
	text: string;
};

/** `foreign`: the answer belongs to another request. */
export type AnswerFault = CallFault | {kind: 'too-large'; message: string} | {kind: 'foreign'; message: string};

export type ReadAnswerOptions = {
	/**
	 * Whether the answer belongs to this call. If not, the connection is closed, as the
	 * call's own answer is still due on it, and would be read as that of the next call.
	 */
	isOwn?: (headers: WholeAnswer['headers']) => boolean;
};

/**
 * Sends a call and collects its answer.
 *
 * @param call - The call.
 * @param maxBytes - Longest body that is accepted; a longer one closes the connection.
 * @param options - See {@link ReadAnswerOptions}.
 * @returns Status, headers and text, or the fault.
 */
export async function readAnswer(call: Call, maxBytes: number, {isOwn = () => true}: ReadAnswerOptions = {}): Promise<Result<WholeAnswer, AnswerFault>> {
	return new Promise(resolve => {
		const parts: Buffer[] = [];
		let size = 0;
		let status = 0;
		let headers: WholeAnswer['headers'] = {};
		let flow: CallFlow | undefined;
		dispatchCall(call, {
			onStart(...start) {
				[status, headers, flow] = start;
				if (!isOwn(headers)) {
					flow.abandon();
					resolve(err({kind: 'foreign', message: `status ${status}, an answer to another request`}));
				}
			},
			onData(bytes) {
				size += bytes.length;
				if (size > maxBytes) {
					parts.length = 0;
					flow?.abandon();
					resolve(err({kind: 'too-large', message: `the answer is longer than ${maxBytes} bytes`}));
					return;
				}

				parts.push(bytes);
			},
			onEnd() {
				resolve(ok({status, headers, text: Buffer.concat(parts).toString('utf8')}));
			},
			onFault(fault) {
				resolve(err(fault));
			},
		});
	});
}
