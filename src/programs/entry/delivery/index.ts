/**
 * An answer's way back to its caller: server-sent events as tokens come, or one
 * JSON body at the end.
 */
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {type AnswerHead, createSseEncoder, toAnswerBody} from '../../../domain/create-sse-encoder/index.js';
import {toProblem} from '../../../domain/to-problem/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type Delivery} from '../_lib/types.js';

export type DeliveryOptions = {
	head: AnswerHead;
	includesUsage: boolean;
	/** Time for which a caller may read nothing before it counts as gone. */
	writeTimeoutMs: Milliseconds;
	/** Headers besides those of the format, for example the rule that decided. */
	headers?: Readonly<Record<string, string>>;
};

const sseHeaders = {'content-type': 'text/event-stream; charset=utf-8', 'cache-control': 'no-store', 'x-accel-buffering': 'no'};

/**
 * Creates the delivery of a streamed answer. A failure after the first byte is
 * told by an `error` event, and `[DONE]` is left out: a client that only looked
 * at the closed connection could take half an answer for a whole one.
 *
 * @param exchange - The caller's request.
 * @param options - What the answer carries.
 * @returns The delivery.
 */
export function createSseDelivery(exchange: CallerExchange, options: DeliveryOptions): Delivery {
	const sse = createSseEncoder(options.head);
	let isStarted = false;

	function start(): void {
		isStarted = true;
		exchange.startStream(200, {...sseHeaders, ...options.headers});
	}

	return {
		relay(text) {
			if (!isStarted) {
				start();
			}

			return text === '' || exchange.write(sse.text(text));
		},
		async drained() {
			const isReading = await exchange.drained(options.writeTimeoutMs);
			if (!isReading) {
				// Whatever was written for it would stay in memory for as long as it keeps the connection.
				exchange.destroy();
			}

			return isReading;
		},
		complete({finish, usage}) {
			if (!isStarted) {
				start();
			}

			exchange.write(sse.finish(finish) + (options.includesUsage ? sse.usage(usage) : '') + sse.done());
			exchange.end();
		},
		fail(problem) {
			if (!isStarted) {
				exchange.sendProblem(problem);
				return;
			}

			exchange.write(sse.error(toProblem(problem, exchange.requestId)));
			exchange.end();
		},
	};
}

/**
 * Creates the delivery of an answer in one piece.
 *
 * @param exchange - The caller's request.
 * @param options - What the answer carries.
 * @returns The delivery.
 */
export function createJsonDelivery(exchange: CallerExchange, options: DeliveryOptions): Delivery {
	return {
		relay: () => true,
		drained: async () => true,
		complete({finish, usage}, tokens) {
			const body = toAnswerBody(options.head, {text: tokens.join(''), finish, usage});
			exchange.sendAnswer(200, {'content-type': 'application/json', ...options.headers}, body);
		},
		fail(problem) {
			exchange.sendProblem(problem);
		},
	};
}
