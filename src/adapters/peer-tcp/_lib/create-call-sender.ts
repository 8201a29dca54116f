import {err, ok, type Result} from 'neverthrow';
import {createDeferred} from '../../../_lib/create-deferred/index.js';
import {isRecord} from '../../../_lib/is-record/index.js';
import {type WriteFrame} from './create-frame-writer.js';
import {type ReplyFrame} from './frame.js';
import {type PeerFailure, type PeerLimits} from './peer-types.js';

type Outcome = Result<unknown, PeerFailure>;

type Outstanding = {
	resolve: (reply: ReplyFrame) => void;
	fail: (reason: string) => void;
};

export type CallSender = {
	/** Sends a call and waits for its reply, `timeoutMs` at most. */
	call: (method: string, body: unknown, timeoutMs: number) => Promise<Outcome>;
	/** Completes the call that waits for a reply. A reply whose call has timed out is dropped. */
	handleReply: (reply: ReplyFrame) => void;
	/** Fails all calls that wait for a reply, because the connection has ended. */
	failAll: (reason: string) => void;
};

/**
 * Creates the sender of calls to a peer, which matches replies to calls by id.
 *
 * @param write - Writes a frame to the connection.
 * @param limits - `outstandingCalls`: maximum number of calls that wait for a reply.
 * @returns See {@link CallSender}.
 */
export function createCallSender(write: WriteFrame, limits: Pick<PeerLimits, 'outstandingCalls'>): CallSender {
	const outstanding = new Map<number, Outstanding>();
	let nextId = 1;

	async function waitForReply(id: number, method: string, timeoutMs: number): Promise<Outcome> {
		const settled = createDeferred<ReplyFrame | PeerFailure>();
		const timer = setTimeout(() => {
			outstanding.delete(id);
			settled.resolve({kind: 'timed-out', sent: true, message: `Call ${method} had no reply within ${timeoutMs} ms.`});
		}, timeoutMs);
		outstanding.set(id, {
			resolve: settled.resolve,
			fail(reason) {
				settled.resolve({kind: 'broken', sent: true, message: `Call ${method} had no reply: ${reason}.`});
			},
		});
		const outcome = await settled.promise;
		clearTimeout(timer);
		return 'kind' in outcome ? err(outcome) : toOutcome(outcome, method);
	}

	return {
		async call(method, body, timeoutMs) {
			if (outstanding.size >= limits.outstandingCalls) {
				return err(toNotSent(method, `${outstanding.size} calls wait for a reply`));
			}

			const id = nextId;
			nextId += 1;
			const fault = write({
				type: 'call', id, method, body,
			});
			return fault === undefined ? waitForReply(id, method, timeoutMs) : err(toNotSent(method, fault));
		},
		handleReply(reply) {
			outstanding.get(reply.id)?.resolve(reply);
			outstanding.delete(reply.id);
		},
		failAll(reason) {
			for (const {fail} of outstanding.values()) {
				fail(reason);
			}

			outstanding.clear();
		},
	};
}

function toNotSent(method: string, reason: string): PeerFailure {
	return {kind: 'not-sent', sent: false, message: `Call ${method} was not sent: ${reason}.`};
}

function toOutcome(reply: ReplyFrame, method: string): Outcome {
	if (reply.ok) {
		return ok(reply.body);
	}

	const reason = isRecord(reply.body) && typeof reply.body.message === 'string' ? reply.body.message : 'the peer gave no reason';
	return err({kind: 'failed', sent: true, message: `Call ${method} failed: ${reason}.`});
}
