/**
 * Serves a request with an idempotency key: claims the key, runs the request
 * here or joins the run on another host, and relays the answer to the caller.
 */
import {Buffer} from 'node:buffer';
import {type AnswerHeaders, type CallerExchange} from '../../../adapters/caller-http/index.js';
import {type RunEnd, type RunReader, type RunWriter} from '../../../domain/create-run-table/index.js';
import {createEventScanner, type EventScanner} from '../../../domain/create-event-scanner/index.js';
import {toErrorEvent} from '../../../domain/create-sse-encoder/index.js';
import {type Problem, toProblem} from '../../../domain/to-problem/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type Claims, type KeyedRequest} from './types.js';

/**
 * Outcome of the work, which the answer alone does not show.
 *
 * - `complete`: the answer was written to its end.
 * - `not-run`: nothing was dispatched to a server.
 * - `failed`: anything else.
 */
export type KeyedVerdict = 'complete' | 'not-run' | 'failed';

/** How the delivery of a joined run's answer ended. */
export type JoinEnd = {
	/** `refused`: the answer arrived complete and says that the work could not be done. */
	kind: 'complete' | 'refused' | 'broken' | 'taken-over' | 'caller-gone';
	/** Monotonic time at which the answer began; `undefined` if it never did. */
	startedAt: Milliseconds | undefined;
};

export type ServeKeyedOptions = {
	/** Time without reading after which a caller counts as disconnected. */
	writeTimeoutMs: Milliseconds;
	/** Monotonic milliseconds. */
	now: () => Milliseconds;
	/**
	 * Does the work and answers the given exchange, which stands for all readers of
	 * the answer. The exchange's `disconnectSignal` fires when the last reader has
	 * left. Of all hosts, only the one that was granted the claim calls this.
	 */
	serve: (recorded: CallerExchange) => Promise<KeyedVerdict>;
	/** Whether the answer is another service's, in which this system puts no event of its own. */
	isOpaque?: boolean;
	/** Called when the answer comes from a run that an earlier call started. */
	onJoin?: (host: string) => void;
	/** Called when the delivery of such an answer has ended. */
	onJoinEnded?: (host: string, end: JoinEnd) => void;
	/** Called when the key is refused, before the problem is sent to the caller. */
	onRefused?: (problem: Problem) => void;
};

/** State of a delivery after the last part that was relayed. */
type DeliveryState = {
	/** Present if the answer is a stream of this system's events, in which callers expect an `error` event. */
	events: EventScanner | undefined;
	/** Whether the answer reports a failure of this system rather than of the caller's request. */
	isRefusal: boolean;
	startedAt: Milliseconds | undefined;
};

/** Lowest HTTP status of a server error. */
const minServerErrorStatus = 500;
const tooManyRequests = 429;

function toInitialState({status, headers}: {status: number; headers: AnswerHeaders}, isOpaque: boolean, now: Milliseconds): DeliveryState {
	const type = String(headers['content-type']);
	const isRefusal = type.startsWith('application/problem+json') && (status === tooManyRequests || status >= minServerErrorStatus);
	return {
		events: !isOpaque && type.startsWith('text/event-stream') ? createEventScanner() : undefined, isRefusal, startedAt: now,
	};
}

function toAbortProblem(isTakenOver: boolean, isStarted: boolean): Problem {
	const outcome = isStarted ? 'ran' : 'may-have-run';
	return isTakenOver
		? {kind: 'key-used', detail: 'A later request with the same Idempotency-Key took the answer over.', outcome}
		: {kind: 'answer-lost', detail: 'The answer was lost on its way. Send the same Idempotency-Key again to ask for it.', outcome};
}

/**
 * Ends a delivery that can't go on. A stream of this system's events ends with an
 * `error` event between two events. For any other answer that has begun, the
 * connection is destroyed: if it closed normally, the caller would take the partial
 * answer for a complete one.
 */
function abortDelivery(exchange: CallerExchange, isTakenOver: boolean, {events}: DeliveryState) {
	const isStarted = exchange.isStarted();
	const problem = toAbortProblem(isTakenOver, isStarted);
	if (!isStarted) {
		exchange.sendProblem(problem);
	} else if (events?.isBetweenEvents() === true) {
		exchange.write(toErrorEvent(toProblem(problem, exchange.requestId)));
		exchange.end();
	} else {
		exchange.destroy();
	}
}

/** Relays an answer to a caller until the answer ends, the caller disconnects, or another connection takes the delivery over. */
async function deliver(reader: RunReader, exchange: CallerExchange, {writeTimeoutMs, now, isOpaque = false}: ServeKeyedOptions): Promise<JoinEnd> {
	const onDisconnect = () => {
		reader.close(now());
	};

	let state: DeliveryState = {
		events: undefined, isRefusal: false, startedAt: undefined,
	};
	const toEnd = (kind: JoinEnd['kind']): JoinEnd => ({kind, startedAt: state.startedAt});
	exchange.disconnectSignal.addEventListener('abort', onDisconnect, {once: true});
	try {
		while (!exchange.disconnectSignal.aborted) {
			const part = await reader.next();
			if (part.kind === 'head') {
				state = toInitialState(part, isOpaque, now());
				exchange.startStream(part.status, part.headers);
			} else if (part.kind === 'bytes') {
				state.events?.add(part.bytes);
				const isFree = exchange.write(part.bytes);
				if (!isFree && !await exchange.drained(writeTimeoutMs)) {
					exchange.destroy();
					return toEnd('caller-gone');
				}
			} else if (part.kind === 'end' && part.end !== 'broken' && exchange.isStarted()) {
				exchange.end();
				return toEnd(state.isRefusal ? 'refused' : 'complete');
			} else {
				abortDelivery(exchange, part.kind === 'taken-over', state);
				return toEnd(part.kind === 'taken-over' ? 'taken-over' : 'broken');
			}
		}

		return toEnd('caller-gone');
	} finally {
		exchange.disconnectSignal.removeEventListener('abort', onDisconnect);
		reader.close(now());
	}
}

type RecordedExchange = {
	exchange: CallerExchange;
	/** Whether the answer was written to its end. */
	isWhole: () => boolean;
};

/**
 * Creates an exchange that writes its answer into a run, for whichever connection
 * has the delivery to read. The run is ended only when the verdict is known: a
 * complete answer that reports a failure must not be kept as the answer of
 * repeatable work.
 */
function createRecordedExchange(exchange: CallerExchange, writer: RunWriter, abandonedSignal: AbortSignal): RecordedExchange {
	let isStarted = false;
	let isWhole = false;

	function start(status: number, headers: Readonly<Record<string, string | readonly string[]>>) {
		isStarted = true;
		writer.writeHead(status, headers);
	}

	function send(status: number, headers: Readonly<Record<string, string>>, body: string) {
		const bytes = Buffer.from(body);
		// With a content-length, a caller on another host needs no end part, which may arrive much later than the last byte or never.
		start(status, {...headers, 'content-length': String(bytes.length)});
		writer.write(bytes);
		isWhole = true;
	}

	const recorded: CallerExchange = {
		...exchange,
		disconnectSignal: abandonedSignal,
		isStarted: () => isStarted,
		startStream: start,
		write: piece => writer.write(typeof piece === 'string' ? Buffer.from(piece) : piece),
		async drained() {
			await writer.drained();
			return !abandonedSignal.aborted;
		},
		sendAnswer: send,
		sendProblem(problem) {
			const {status, headers, body} = toProblem(problem, exchange.requestId);
			send(status, headers, body);
		},
		end() {
			isWhole = true;
		},
		destroy() {
			isWhole = false;
		},
	};
	return {exchange: recorded, isWhole: () => isWhole};
}

function toRunEnd(verdict: KeyedVerdict, isWhole: boolean, isRepeatable: boolean): RunEnd {
	if (verdict === 'not-run') {
		return 'retryable';
	}

	if (!isWhole) {
		return 'broken';
	}

	return verdict === 'failed' && isRepeatable ? 'retryable' : 'complete';
}

/**
 * Serves one keyed request.
 *
 * @param claims - Claims of this entry.
 * @param exchange - The caller's request, with its body already read.
 * @param request - The key and the work that it identifies.
 * @param options - See {@link ServeKeyedOptions}.
 * @returns Resolves when the delivery has ended, and the work too if it runs on this host.
 */
export async function serveKeyed(claims: Claims, exchange: CallerExchange, request: Omit<KeyedRequest, 'onAbandoned'>, options: ServeKeyedOptions): Promise<void> {
	const abandoned = new AbortController();
	const claimed = await claims.claim({
		...request,
		onAbandoned() {
			abandoned.abort();
		},
	});
	if (claimed.kind === 'refused') {
		options.onRefused?.(claimed.problem);
		exchange.sendProblem(claimed.problem);
		return;
	}

	if (claimed.kind === 'join') {
		options.onJoin?.(claimed.host);
		const end = await deliver(claimed.reader, exchange, options);
		options.onJoinEnded?.(claimed.host, end);
		return;
	}

	const work = async () => {
		const recorded = createRecordedExchange(exchange, claimed.writer, abandoned.signal);
		try {
			const verdict = await options.serve(recorded.exchange);
			claimed.writer.end(toRunEnd(verdict, recorded.isWhole(), request.isRepeatable), options.now());
		} finally {
			// If `serve` throws, readers would wait forever. After a regular end this call has no effect.
			claimed.writer.end('broken', options.now());
		}
	};

	await Promise.all([deliver(claimed.reader, exchange, options), work()]);
}
