/**
 * One request of a caller and its answer, over node's own request and response:
 * a token that is relayed costs a string concatenation, and a write to the
 * socket is shared by all that came in the same turn of the event loop.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {v7 as createUuidV7} from 'uuid';
import {err, ok, type Result} from 'neverthrow';
import {type RequestId} from '../../../ports/ids.js';
import {type Problem, type ProblemStyle, toProblem} from '../../../domain/to-problem/index.js';
import {createBodyWriter} from './create-body-writer.js';
import {createSizedBody, hasBody, toLength} from './create-sized-body.js';

export type BodyFault = 'body-too-large' | 'slow-request' | 'gone';

export type ReadBodyOptions = {
	limitBytes: number;
	timeoutMs: number;
};

export type CallerExchange = {
	requestId: RequestId;
	method: string;
	/** Path without the query. */
	path: string;
	/** Path and query as they came. */
	target: string;
	/** Lower-case names. A header that came more than once is joined with commas. */
	headers: Readonly<Record<string, string>>;
	/** Fires when the caller's connection ends before the answer was sent whole. */
	disconnectSignal: AbortSignal;
	readBody: (options: ReadBodyOptions) => Promise<Result<Buffer, BodyFault>>;
	/** The body as it comes, for bodies that are passed through. */
	incoming: IncomingMessage;
	sendAnswer: (status: number, headers: Readonly<Record<string, string>>, body: string) => void;
	sendProblem: (problem: Problem) => void;
	/** Starts an answer whose body is written in pieces. One with a `content-length` begins with its first piece and ends with its last byte. */
	startStream: (status: number, headers: AnswerHeaders) => void;
	/** Whether anything of the answer has gone out, so that no other answer can take its place. */
	isStarted: () => boolean;
	/** Whether the answer was ended and a part of it still waits for the caller to read. */
	isFlushing: () => boolean;
	/** Queues a piece of the answer. `false` asks the writer to wait for {@link CallerExchange.drained}. */
	write: (piece: string | Uint8Array) => boolean;
	/** Resolves once the caller has read on; `false` when it is gone or read nothing for `timeoutMs`. */
	drained: (timeoutMs: number) => Promise<boolean>;
	end: () => void;
	/** Breaks the connection, so that a cut answer can't be taken for a whole one. An answer of which every byte was written is left to go out. */
	destroy: () => void;
};

export type AnswerHeaders = Readonly<Record<string, string | readonly string[]>>;

export type ExchangeOptions = {
	isStopping: () => boolean;
	/** Time for which a caller may take no byte of the end of its answer. */
	writeTimeoutMs: number;
	/** Header in which callers name their requests; without it, or without a name, the host names them. */
	requestIdHeader?: string | undefined;
	problemStyle?: ProblemStyle | undefined;
};

/** Longest name of a request that is taken from its caller. */
const maxRequestIdLength = 128;

/** Time for which the rest of a refused body is read and dropped, milliseconds. */
const discardBodyMs = 1000;

/**
 * Creates the id of a request. The library joins it out of some twenty pieces,
 * which the engine keeps as a tree of 1.2 KB for the life of the request unless
 * the text is copied once.
 */
function createRequestId(): RequestId {
	return Buffer.from(createUuidV7(), 'latin1').toString('latin1');
}

function toNamed(req: IncomingMessage, header: string | undefined): RequestId | undefined {
	const named = header === undefined ? undefined : req.headers[header];
	return typeof named === 'string' && named.length > 0 && named.length <= maxRequestIdLength ? named : undefined;
}

/**
 * Reads a body into memory, within a bound of size and time.
 *
 * @param req - The request.
 * @param options - Bytes and milliseconds allowed.
 * @returns The bytes, or why there are none.
 */
async function readBody(req: IncomingMessage, options: ReadBodyOptions): Promise<Result<Buffer, BodyFault>> {
	if (Number(req.headers['content-length'] ?? 0) > options.limitBytes) {
		return err('body-too-large');
	}

	return new Promise(resolve => {
		const pieces: Buffer[] = [];
		let size = 0;
		const settle = (result: Result<Buffer, BodyFault>) => {
			clearTimeout(timer);
			req.off('data', take).off('end', finish).off('close', giveUp);
			resolve(result);
		};

		const take = (piece: Buffer) => {
			size += piece.length;
			if (size > options.limitBytes) {
				req.pause();
				settle(err('body-too-large'));
				return;
			}

			pieces.push(piece);
		};

		const finish = () => {
			settle(ok(pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces)));
		};

		const giveUp = () => {
			settle(err('gone'));
		};

		const timer = setTimeout(() => {
			req.pause();
			settle(err('slow-request'));
		}, options.timeoutMs);
		req.on('data', take).once('end', finish).once('close', giveUp);
	});
}

async function waitForDrain(res: ServerResponse, disconnected: AbortSignal, timeoutMs: number): Promise<boolean> {
	if (disconnected.aborted || !res.writableNeedDrain) {
		return !disconnected.aborted;
	}

	return new Promise(resolve => {
		const settle = (isDrained: boolean) => {
			clearTimeout(timer);
			res.off('drain', onDrain);
			disconnected.removeEventListener('abort', onDisconnect);
			resolve(isDrained);
		};

		const onDrain = () => {
			settle(true);
		};

		const onDisconnect = () => {
			settle(false);
		};

		const timer = setTimeout(onDisconnect, timeoutMs);
		res.once('drain', onDrain);
		disconnected.addEventListener('abort', onDisconnect, {once: true});
	});
}

/** Whether a body is still to come that nobody has read. */
function hasUnreadBody(req: IncomingMessage): boolean {
	const hasBody = req.headers['transfer-encoding'] !== undefined || Number(req.headers['content-length'] ?? 0) > 0;
	return hasBody && !req.complete;
}

/**
 * Ends an answer that came before its request's body was read. Closing with
 * bytes unread makes the system reset the connection, and the caller may lose
 * the answer that tells it why; so the rest is read and dropped for a while.
 */
async function endAfterBody(req: IncomingMessage, res: ServerResponse): Promise<void> {
	await new Promise<void>(resolve => {
		const timer = setTimeout(resolve, discardBodyMs);
		const settle = () => {
			clearTimeout(timer);
			resolve();
		};

		req.once('end', settle).once('close', settle);
		req.resume();
	});
	res.end();
}

/**
 * Wraps a request and its response.
 *
 * @param req - Node's request.
 * @param res - Node's response.
 * @param options - Whether the process is stopping, asked at the moment of the answer.
 * @returns The exchange.
 */
export function createExchange(req: IncomingMessage, res: ServerResponse, options: ExchangeOptions): CallerExchange {
	const requestId = toNamed(req, options.requestIdHeader) ?? createRequestId();
	const target = req.url ?? '/';
	const disconnected = new AbortController();
	const writer = createBodyWriter(req, res);
	res.once('close', () => {
		if (!res.writableFinished) {
			disconnected.abort();
		}
	});

	function startHead(status: number, headers: AnswerHeaders): void {
		const closes = options.isStopping() || hasUnreadBody(req);
		res.writeHead(status, {...headers as Record<string, string>, 'x-request-id': requestId, ...(closes && {connection: 'close'})});
	}

	/** An ended answer that nobody reads would keep its connection and its bytes for ever, and a planned stop waiting. */
	function limitFlushTime(): void {
		res.setTimeout(options.writeTimeoutMs, () => {
			res.destroy();
		});
	}

	function sendAnswer(status: number, headers: Readonly<Record<string, string>>, body: string): void {
		if (res.headersSent || res.destroyed) {
			return;
		}

		const bytes = Buffer.from(body);
		startHead(status, {...headers, 'content-length': String(bytes.length)});
		limitFlushTime();
		if (hasUnreadBody(req)) {
			res.write(bytes);
			void endAfterBody(req, res);
			return;
		}

		res.end(bytes);
	}

	function finish(): void {
		limitFlushTime();
		writer.end();
	}

	const sized = createSizedBody({
		open(status, headers) {
			startHead(status, headers);
			writer.start();
		},
		write: writer.write,
		finish,
		breakOff() {
			res.destroy();
		},
	});

	return {
		requestId,
		method: req.method ?? 'GET',
		path: target.split('?', 1)[0]!,
		target,
		// Node joins all headers that may come twice but Set-Cookie, which is no request header.
		headers: req.headers as Record<string, string>,
		disconnectSignal: disconnected.signal,
		readBody: async bodyOptions => readBody(req, bodyOptions),
		incoming: req,
		sendAnswer,
		sendProblem(problem) {
			const document = toProblem(problem, requestId, options.problemStyle);
			sendAnswer(document.status, document.headers, document.body);
		},
		startStream(status, headers) {
			sized.start(status, headers, hasBody(req, status) ? toLength(headers) : undefined);
		},
		isStarted: () => res.headersSent,
		isFlushing: () => res.writableEnded && !res.writableFinished,
		write: sized.write,
		drained: async timeoutMs => waitForDrain(res, disconnected.signal, timeoutMs),
		end: sized.end,
		destroy: sized.destroy,
	};
}
