/**
 * Sends answers to callers: as server-sent events while tokens arrive, or as one
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
	/** Time without a read after which a caller counts as gone. */
	writeTimeoutMs: Milliseconds;
	/** Headers besides those of the format, for example the matching rule. */
	headers?: Readonly<Record<string, string>>;
};

const sseHeaders = {'content-type': 'text/event-stream; charset=utf-8', 'cache-control': 'no-store', 'x-accel-buffering': 'no'};

/**
 * Creates the delivery of a streamed answer. A failure after the first byte is
 * reported by an `error` event without a `[DONE]` after it, because a client could
 * take a mere end of the connection for the end of a complete answer.
 *
 * @param exchange - The caller's request.
 * @param options - Head, format and timeout of the answer.
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
				// The unread data would stay in memory for as long as the caller keeps the connection open.
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
 * Creates the delivery of an answer as one JSON body.
 *
 * @param exchange - The caller's request.
 * @param options - Head and headers of the answer.
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
