/** Reads a small HTTP answer completely. */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {type AnswerOwner} from '../../../domain/judge-answer-owner/index.js';
import {type ArrivalLimits} from '../../../domain/to-arrival-deadline/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {
	dispatchCall, type Call, type CallFault, type CallFlow,
} from '../dispatch-call/index.js';
import {watchArrival} from './_lib/watch-arrival.js';

export type WholeAnswer = {
	status: number;
	headers: Record<string, string | string[] | undefined>;
	text: string;
};

/** `foreign`: the answer belongs to another call. `silentMs`: time for which nothing had arrived of an answer that was too slow. */
export type AnswerFault = (CallFault & {silentMs?: Milliseconds}) | {kind: 'too-large'; message: string} | {kind: 'foreign'; message: string};

export type ReadAnswerOptions = {
	/** Decides by the head whether the answer belongs to this call. The connection is closed after a foreign answer, and after one that leaves it unusable, of which only the head is read. */
	toOwner?: (status: number, headers: WholeAnswer['headers']) => AnswerOwner;
	/** Whether the body may be that of the call's own answer; asked with each piece for all that has arrived, and whether that is the length that the head states. The connection is closed after a body that can't be. */
	mayBeOwn?: (status: number, text: string, isWhole: boolean) => boolean;
	/** How slowly the answer may arrive; besides the timeouts of the call. */
	arrival?: ArrivalLimits;
	/** Called once if the answer's head announces more than `bytes`, or more have arrived. */
	long?: {bytes: number; onLong: () => void};
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
export async function readAnswer(call: Call, maxBytes: number, {toOwner, mayBeOwn, arrival, long}: ReadAnswerOptions = {}): Promise<Result<WholeAnswer, AnswerFault>> {
	return new Promise(resolve => {
		const parts: Buffer[] = [];
		let size = 0;
		let status = 0;
		let headers: WholeAnswer['headers'] = {};
		let flow: CallFlow | undefined;
		let isLong = false;
		const late = new AbortController();
		const watch = arrival && watchArrival(arrival, silentMs => {
			finish(err({kind: 'broken', message: `the answer stopped after ${size} bytes of its body, ${Math.round(silentMs)} ms ago`, silentMs}));
			late.abort();
		});

		function finish(result: Result<WholeAnswer, AnswerFault>): void {
			watch?.stop();
			resolve(result);
		}

		/** Ends the call if its answer is longer than accepted, as announced or as arrived. */
		const isTooLarge = (bytes: number): boolean => {
			if (bytes > maxBytes) {
				parts.length = 0;
				flow?.abandon();
				finish(err({kind: 'too-large', message: `the answer is longer than ${maxBytes} bytes`}));
				return true;
			}

			if (!isLong && long !== undefined && bytes > long.bytes) {
				isLong = true;
				long.onLong();
			}

			return false;
		};

		const checkBody = (): void => {
			const isWhole = headers['content-length'] === String(size);
			if (mayBeOwn?.(status, toText(parts), isWhole) === false) {
				flow?.abandon();
				finish(err({kind: 'foreign', message: toForeignMessage(status, {reason: 'it has the body of another answer'})}));
			}
		};

		dispatchCall({...call, ...(arrival && {signal: call.signal === undefined ? late.signal : AbortSignal.any([call.signal, late.signal])})}, {
			onStart(...start) {
				[status, headers, flow] = start;
				watch?.noteHead();
				const owner = toOwner?.(status, headers);
				if (owner?.kind === 'foreign') {
					flow.abandon();
					finish(err({kind: 'foreign', message: toForeignMessage(status, owner)}));
				} else if (owner?.isReusable === false) {
					flow.abandon();
					finish(ok({status, headers, text: ''}));
				} else if (!isTooLarge(Number(headers['content-length'] ?? 0)) && headers['content-length'] === '0') {
					checkBody();
				}
			},
			onData(bytes) {
				size += bytes.length;
				watch?.noteBytes(bytes.length);
				if (!isTooLarge(size)) {
					parts.push(bytes);
					checkBody();
				}
			},
			onEnd() {
				finish(ok({status, headers, text: toText(parts)}));
			},
			onFault(fault) {
				finish(err(fault));
			},
		});
	});
}
