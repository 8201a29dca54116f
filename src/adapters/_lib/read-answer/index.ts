/** Reads a small HTTP answer completely. */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {type AnswerOwner} from '../../../domain/judge-answer-owner/index.js';
import {
	dispatchCall, type Call, type CallFault, type CallFlow,
} from '../dispatch-call/index.js';

export type WholeAnswer = {
	status: number;
	headers: Record<string, string | string[] | undefined>;
	text: string;
};

/** `foreign`: the answer belongs to another call. */
export type AnswerFault = CallFault | {kind: 'too-large'; message: string} | {kind: 'foreign'; message: string};

export type ReadAnswerOptions = {
	/** Decides by the head whether the answer belongs to this call. The connection is closed after a foreign answer, and after one that leaves it unusable, of which only the head is read. */
	toOwner?: (status: number, headers: WholeAnswer['headers']) => AnswerOwner;
	/** Whether the body may be that of the call's own answer; asked with each piece for all that has arrived, and whether that is the length that the head states. The connection is closed after a body that can't be. */
	mayBeOwn?: (status: number, text: string, isWhole: boolean) => boolean;
};

const toText = (parts: readonly Buffer[]): string => Buffer.concat(parts).toString('utf8');

/**
 * @param status - Status of the answer.
 * @param owner - Why the answer does not belong to its call.
 * @returns Message for the log.
 */
export const toForeignMessage = (status: number, {reason}: Pick<Extract<AnswerOwner, {kind: 'foreign'}>, 'reason'>): string => `status ${status}, an answer to another call: ${reason}`;

/**
 * Sends a call and collects its answer.
 *
 * @param call - The call.
 * @param maxBytes - Longest body that is accepted; a longer one closes the connection.
 * @param options - See {@link ReadAnswerOptions}.
 * @returns Status, headers and text, or the fault.
 */
export async function readAnswer(call: Call, maxBytes: number, {toOwner, mayBeOwn}: ReadAnswerOptions = {}): Promise<Result<WholeAnswer, AnswerFault>> {
	return new Promise(resolve => {
		const parts: Buffer[] = [];
		let size = 0;
		let status = 0;
		let headers: WholeAnswer['headers'] = {};
		let flow: CallFlow | undefined;
		const checkBody = (): void => {
			const isWhole = headers['content-length'] === String(size);
			if (mayBeOwn?.(status, toText(parts), isWhole) === false) {
				flow?.abandon();
				resolve(err({kind: 'foreign', message: toForeignMessage(status, {reason: 'it has the body of another answer'})}));
			}
		};

		dispatchCall(call, {
			onStart(...start) {
				[status, headers, flow] = start;
				const owner = toOwner?.(status, headers);
				if (owner?.kind === 'foreign') {
					flow.abandon();
					resolve(err({kind: 'foreign', message: toForeignMessage(status, owner)}));
				} else if (owner?.isReusable === false) {
					flow.abandon();
					resolve(ok({status, headers, text: ''}));
				} else if (headers['content-length'] === '0') {
					checkBody();
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
				checkBody();
			},
			onEnd() {
				resolve(ok({status, headers, text: toText(parts)}));
			},
			onFault(fault) {
				resolve(err(fault));
			},
		});
	});
}
