/** Relays the answer of a plain service to the caller. */
import {type Buffer} from 'node:buffer';
import {type CallFlow} from '../../../../adapters/_lib/dispatch-call/index.js';
import {type CallerExchange} from '../../../../adapters/caller-http/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {bytesPerKibibyte} from '../../../../ports/units.js';

/**
 * Answers with a content length up to this are buffered until they are complete.
 * If a short answer were relayed as it arrives and its service failed midway, the
 * caller would see only a closed connection. From the buffered state, the call can
 * be retried or, if that is not allowed, answered with a problem document.
 */
const maxHeldBytes = 64 * bytesPerKibibyte;

type Headers = Parameters<CallerExchange['startStream']>[1];

export type Relay = {
	start: (status: number, headers: Headers, flow: CallFlow) => void;
	/** Relays bytes; returns why no more of the answer can be relayed, if so. */
	write: (bytes: Buffer) => string | undefined;
	end: () => void;
	/** Whether any part was relayed, after which no other answer can replace this one. */
	hasBegun: () => boolean;
};

function isShort(headers: Headers): boolean {
	const length = Number(headers['content-length'] ?? Number.NaN);
	return length >= 0 && length <= maxHeldBytes;
}

/** Resumes once the caller has read; a caller that reads nothing for too long is disconnected, which ends the call. */
async function resumeOnceRead(exchange: CallerExchange, timeoutMs: Milliseconds, resume: () => void): Promise<void> {
	if (await exchange.drained(timeoutMs)) {
		resume();
	} else {
		exchange.destroy();
	}
}

/** Creates a writer to the caller that passes back-pressure on to the server. */
export function createFlowWriter({exchange, idleTimeoutMs}: {exchange: CallerExchange; idleTimeoutMs: Milliseconds}) {
	let flow: CallFlow | undefined;
	return {
		setFlow(next: CallFlow): void {
			flow = next;
		},
		pass(bytes: Buffer): void {
			if (exchange.write(bytes)) {
				return;
			}

			flow?.pause();
			void resumeOnceRead(exchange, idleTimeoutMs, () => {
				flow?.resume();
			});
		},
	};
}

/**
 * Creates the relay of one answer.
 *
 * @param options - The caller's connection, and its idle timeout in milliseconds.
 * @returns Functions to call in this order: `start`, `write` for each chunk, `end`.
 */
export function createRelay(options: {exchange: CallerExchange; idleTimeoutMs: Milliseconds}): Relay {
	const {exchange} = options;
	const writer = createFlowWriter(options);
	const heldChunks: Buffer[] = [];
	let begin: (() => void) | undefined;
	let hasBegun = false;

	return {
		start(status, headers, answerFlow) {
			writer.setFlow(answerFlow);
			begin = () => {
				hasBegun = true;
				exchange.startStream(status, headers);
			};

			if (!isShort(headers)) {
				begin();
				begin = undefined;
			}
		},
		write(bytes) {
			if (begin === undefined) {
				writer.pass(bytes);
			} else {
				heldChunks.push(bytes);
			}

			return undefined;
		},
		end() {
			begin?.();
			for (const bytes of heldChunks) {
				exchange.write(bytes);
			}

			exchange.end();
		},
		hasBegun: () => hasBegun,
	};
}
