/** Passes a plain service's answer on to the caller. */
import {type Buffer} from 'node:buffer';
import {type CallFlow} from '../../../../adapters/_lib/dispatch-call/index.js';
import {type CallerExchange} from '../../../../adapters/caller-http/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {bytesPerKibibyte} from '../../../../ports/units.js';

/**
 * Answers that tell a length up to this are held until they are whole. Passed
 * on as it comes, a short answer whose service breaks midway would leave its
 * caller with a cut connection and no word; held, the call can be sent elsewhere
 * where that is allowed, and is ended by a problem document where it is not.
 */
const maxHeldBytes = 64 * bytesPerKibibyte;

type Headers = Parameters<CallerExchange['startStream']>[1];

export type Relay = {
	start: (status: number, headers: Headers, flow: CallFlow) => void;
	write: (bytes: Buffer) => void;
	end: () => void;
	/** Whether anything was passed on, so that no other answer can take its place. */
	hasBegun: () => boolean;
};

function isShort(headers: Headers): boolean {
	const length = Number(headers['content-length'] ?? Number.NaN);
	return length >= 0 && length <= maxHeldBytes;
}

/** A caller that reads nothing for too long is cut off, and its going ends the call. */
async function resumeOnceRead(exchange: CallerExchange, timeoutMs: Milliseconds, resume: () => void): Promise<void> {
	if (await exchange.drained(timeoutMs)) {
		resume();
	} else {
		exchange.destroy();
	}
}

/** Writes to the caller, and holds the server back while the caller reads nothing. */
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
 * @param options - The caller's connection, and how long it may read nothing.
 * @returns Its functions, called in order: start, pieces, end.
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
