/**
 * The engine port over HTTP/1.1. The protocol is in
 * `docs/design/002-interfaces.md`.
 *
 * A failure is `unreachable` only when no byte of the call was handed to a
 * connection. Only such a failure proves that the engine did not run the request.
 */
import {ok, ResultAsync, type Result} from 'neverthrow';
import {createHttpAgent} from '../_lib/create-http-agent/index.js';
import {readAnswer} from '../_lib/read-answer/index.js';
import {type Milliseconds} from '../../ports/clock.js';
import {
	type AttemptKey, type DecodeChunk, type Engine, type EngineCallOptions, type EngineFailure,
} from '../../ports/engine.js';
import {type ServerId} from '../../ports/ids.js';
import {bytesPerMebibyte, msPerSecond} from '../../ports/units.js';
import {type DropCause} from './_lib/create-chunk-reader.js';
import {createCallNames} from './_lib/create-call-names.js';
import {openStream} from './_lib/open-stream.js';
import {
	parseCancel, parseHolds, parseImport, parseLoad, parsePrefill, parseReservation,
} from './_lib/parse-answers.js';
import {toAnswer, toFaultFailure} from './_lib/to-failure.js';

export {type DropCause} from './_lib/create-chunk-reader.js';

export type EngineHttpOptions = {
	server: {
		id: ServerId;
		/** `http://IP:port`. */
		url: string;
	};
	/** Connections to this server; each open stream and each waiting prefill takes one. */
	connections?: number;
	connectTimeoutMs?: Milliseconds;
	/** Timeout of a short call. */
	callTimeoutMs?: Milliseconds;
	/** Timeout of a transfer of a KV cache. */
	transferTimeoutMs?: Milliseconds;
	/** Time without a byte after which a stream counts as broken. */
	streamIdleMs?: Milliseconds;
	maxLineBytes?: number;
	maxAnswerBytes?: number;
	/** Called when tokens of a stream are dropped. */
	onDropped?: (cause: DropCause, tokens: number) => void;
};

export type EngineHttp = Engine & {
	/** Closes the connections; work that runs on the server continues. */
	close: () => Promise<void>;
};

const defaults = {
	connections: 512,
	connectTimeoutMs: msPerSecond,
	callTimeoutMs: 3 * msPerSecond,
	transferTimeoutMs: 10 * msPerSecond,
	streamIdleMs: 15 * msPerSecond,
	maxLineBytes: bytesPerMebibyte,
	maxAnswerBytes: 8 * bytesPerMebibyte,
	onDropped: () => undefined,
};

type WholeCall<T> = {
	method: 'GET' | 'POST';
	path: string;
	body?: unknown;
	/** Status of a successful answer; 200 when absent. */
	expected?: number;
	timeoutMs?: Milliseconds;
	parse: (fields: Record<string, unknown>) => T | undefined;
};

/**
 * Creates the client of one model engine.
 *
 * @param options - The server, and limits.
 * @returns The engine port, and a function that closes its connections.
 */
export function createEngineHttp(options: EngineHttpOptions): EngineHttp {
	const settings = {...defaults, ...options};
	const {server, callTimeoutMs} = settings;
	const dispatcher = createHttpAgent(settings);
	const nameCall = createCallNames();

	const callWhole = async <T>(call: WholeCall<T>, {signal}: EngineCallOptions = {}): Promise<Result<T, EngineFailure>> => {
		const name = nameCall();
		const answer = await readAnswer({
			dispatcher,
			origin: server.url,
			method: call.method,
			path: call.path,
			body: call.body,
			headers: name.headers,
			headersTimeoutMs: call.timeoutMs ?? callTimeoutMs,
			idleTimeoutMs: callTimeoutMs,
			...(signal && {signal}),
		}, settings.maxAnswerBytes, {toOwner: name.toOwner});
		return answer
			.mapErr(fault => toFaultFailure(server.id, fault))
			.andThen(whole => toAnswer(server.id, whole, call.expected ?? 200, call.parse));
	};

	const call = <T>(whole: WholeCall<T>, callOptions?: EngineCallOptions) => new ResultAsync(callWhole(whole, callOptions));

	type StreamCall = {method: 'GET' | 'POST'; path: string; body?: unknown; key: AttemptKey; offset: number};

	const stream = ({method, path, body, key, offset}: StreamCall, {signal}: EngineCallOptions = {}): ResultAsync<AsyncIterable<DecodeChunk>, EngineFailure> => new ResultAsync(openStream({
		call: {
			dispatcher, origin: server.url, method, path, body, headersTimeoutMs: callTimeoutMs, idleTimeoutMs: settings.streamIdleMs, ...(signal && {signal}),
		},
		name: nameCall(),
		server: server.id,
		key,
		offset,
		maxLineBytes: settings.maxLineBytes,
		onDropped: settings.onDropped,
	}));

	return {
		reserve: (key, request, callOptions) => call({
			method: 'POST', path: '/engine/reservations', body: {key, ...request}, expected: 201, parse: parseReservation,
		}, callOptions),
		prefill: (request, callOptions) => call({
			method: 'POST', path: '/engine/prefills', body: request, timeoutMs: request.deadlineInMs + callTimeoutMs, parse: parsePrefill,
		}, callOptions),
		importKv: (request, callOptions) => call({
			method: 'POST', path: '/engine/imports', body: request, timeoutMs: settings.transferTimeoutMs, parse: parseImport,
		}, callOptions),
		decode: (request, callOptions) => stream({
			method: 'POST', path: '/engine/streams', body: request, key: request.key, offset: request.answerOffset ?? 0,
		}, callOptions),
		resume: (key, offset, callOptions) => stream({
			method: 'GET', path: `/engine/streams/${encodeURIComponent(key.requestId)}/${key.attempt}?offset=${offset}`, key, offset,
		}, callOptions),
		cancel: (key, callOptions) => call({
			method: 'POST', path: '/engine/cancels', body: {key}, parse: parseCancel,
		}, callOptions).andThen(() => ok(undefined)),
		listHolds: callOptions => call({method: 'GET', path: '/engine/holds', parse: parseHolds}, callOptions),
		load: callOptions => call({method: 'GET', path: '/engine/load', parse: parseLoad}, callOptions),
		order: (order, callOptions) => call({
			method: 'POST', path: '/engine/orders', body: order, parse: () => true as const,
		}, callOptions).andThen(() => ok(undefined)),
		async close() {
			await dispatcher.destroy();
		},
	};
}
