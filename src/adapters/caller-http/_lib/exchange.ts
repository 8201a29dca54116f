/**
 * One request of a caller and its answer, over node's own request and response.
 * Relaying a token costs one string concatenation; all tokens of one turn of the
 * event loop are sent in one write to the socket.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {TLSSocket} from 'node:tls';
import {v7 as createUuidV7} from 'uuid';
import {err, ok, type Result} from 'neverthrow';
import {type RequestId} from '../../../ports/ids.js';
import {type PassedRequest} from '../../../ports/reach.js';
import {type Problem, type ProblemStyle, toProblem} from '../../../domain/to-problem/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {createBodyWriter} from './create-body-writer.js';
import {createCloseReader} from './create-close-reader.js';
import {createSizedBody, hasBody, toLength} from './create-sized-body.js';

export type BodyFault = 'body-too-large' | 'slow-request' | 'stopping' | 'gone';

export type ReadBodyOptions = {
	limitBytes: number;
	timeoutMs: number;
	/** Ends the reading when this host stops. */
	signal?: AbortSignal;
};

export type CallerExchange = {
	requestId: RequestId;
	/** Monotonic time at which the request's head was read. */
	receivedAt: Milliseconds;
	/** Whether the request has waited too long to be started, and is to be refused. */
	isOverdue: () => boolean;
	method: string;
	/** Path without the query. */
	path: string;
	/** Path and query as received. */
	target: string;
	/** Headers by lower-case name. The values of a header that occurs more than once are joined with commas. */
	headers: Readonly<Record<string, string>>;
	/** Aborts when the caller's connection ends before the complete answer was sent. */
	disconnectSignal: AbortSignal;
	/** Resolves once {@link CallerExchange.disconnectSignal} tells of each close that had arrived before. To be awaited before work is given to a server or another host. */
	readClose: () => Promise<void>;
	/** Present if another host passed the request on. */
	passed?: PassedRequest;
	readBody: (options: ReadBodyOptions) => Promise<Result<Buffer, BodyFault>>;
	/** Node's request, for bodies that are relayed as they arrive. */
	incoming: IncomingMessage;
	sendAnswer: (status: number, headers: Readonly<Record<string, string>>, body: string) => void;
	sendProblem: (problem: Problem) => void;
	/** Starts an answer whose body is written in pieces. With a `content-length`, the head is sent with the first piece, and the answer ends after its last byte. */
	startStream: (status: number, headers: AnswerHeaders) => void;
	/** Whether a part of the answer was sent, so that no other answer can replace it. */
	isStarted: () => boolean;
	/** Whether the answer was ended and a part of it is not sent yet, because the caller reads slowly. */
	isFlushing: () => boolean;
	/** Queues a piece of the answer. `false` asks the writer to wait for {@link CallerExchange.drained}. */
	write: (piece: string | Uint8Array) => boolean;
	/** Resolves to `true` once the caller has read the queued pieces; to `false` when it has disconnected or read nothing for `timeoutMs`. */
	drained: (timeoutMs: number) => Promise<boolean>;
	end: () => void;
	/** Breaks the connection, so that the caller can't mistake a truncated answer for a complete one. If every byte of the answer was written, the answer is still sent. */
	destroy: () => void;
};

/** An exchange, and what its port tells of it. */
export type OpenExchange = {
	exchange: CallerExchange;
	/** Notes that the request is started or refused, and the turn of the event loop in which its connection was last read. */
	noteStart: (how: {isOverdue: boolean; turnAt: Milliseconds}) => void;
};

export type AnswerHeaders = Readonly<Record<string, string | readonly string[]>>;

export type ExchangeOptions = {
	/** Monotonic clock. */
	now: () => Milliseconds;
	isStopping: () => boolean;
	/** Time without progress after which the connection of a caller that does not read the end of its answer is closed, milliseconds. */
	writeTimeoutMs: number;
	/** Header from which the request id is taken; if it is unset or the header is missing, the host creates an id. */
	requestIdHeader?: string | undefined;
	problemStyle?: ProblemStyle | undefined;
};

/** Longest request id that is accepted from a caller. */
const maxRequestIdLength = 128;

/** Time for which the rest of a refused body is read and discarded, milliseconds. */
const discardBodyMs = 1000;

/**
 * Creates the id of a request. The library concatenates the id from about twenty
 * strings, which V8 would keep as a tree of 1.2 KB for the lifetime of the
 * request. Copying the text through a buffer releases them.
 */
function createRequestId(): RequestId {
	return Buffer.from(createUuidV7(), 'latin1').toString('latin1');
}

function toNamed(req: IncomingMessage, header: string | undefined): RequestId | undefined {
	const named = header === undefined ? undefined : req.headers[header];
	return typeof named === 'string' && named.length > 0 && named.length <= maxRequestIdLength ? named : undefined;
}

/**
 * Reads a body into memory, with a limit of size and time.
 *
 * @param req - The request.
 * @param options - Limits in bytes and milliseconds.
 * @returns The bytes, or the reason why the body was not read.
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
			options.signal?.removeEventListener('abort', stop);
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

		const stop = () => {
			req.pause();
			settle(err('stopping'));
		};

		const timer = setTimeout(() => {
			req.pause();
			settle(err('slow-request'));
		}, options.timeoutMs);
		req.on('data', take).once('end', finish).once('close', giveUp);
		options.signal?.addEventListener('abort', stop, {once: true});
		if (options.signal?.aborted) {
			stop();
		}
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

/** Whether the request has a body that was not read completely. */
function hasUnreadBody(req: IncomingMessage): boolean {
	const hasBody = req.headers['transfer-encoding'] !== undefined || Number(req.headers['content-length'] ?? 0) > 0;
	return hasBody && !req.complete;
}

/** Whether the request's connection is read on: not while a body waits that fills its buffer, and no close is seen then. */
function isReadOn({complete, readableLength, readableHighWaterMark}: IncomingMessage): boolean {
	return complete && readableLength < readableHighWaterMark;
}

/**
 * Ends an answer that was sent before the request's body was read. Closing a
 * socket with unread bytes makes the operating system reset the connection, and
 * the caller may lose the answer that explains the refusal. The rest of the body
 * is therefore read and discarded for a limited time first.
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
 * Breaks the connection of an answer. An answer without chunks may end with its
 * connection, as for each caller of HTTP/1.0: after an orderly end that caller would
 * take the truncated answer for a complete one, so its connection is reset. TLS
 * shows the truncation by itself.
 */
function breakConnection(res: ServerResponse): void {
	const {socket} = res;
	if (socket === null || res.useChunkedEncodingByDefault || socket instanceof TLSSocket) {
		res.destroy();
	} else {
		socket.resetAndDestroy();
	}
}

/**
 * Wraps a request and its response.
 *
 * @param req - Node's request.
 * @param res - Node's response.
 * @param options - See {@link ExchangeOptions}.
 * @returns See {@link OpenExchange}.
 */
export function createExchange(req: IncomingMessage, res: ServerResponse, options: ExchangeOptions): OpenExchange {
	const requestId = toNamed(req, options.requestIdHeader) ?? createRequestId();
	const target = req.url ?? '/';
	const disconnected = new AbortController();
	const writer = createBodyWriter(req, res);
	const closeReader = createCloseReader({now: options.now, nextTurn});
	const receivedAt = options.now();
	let isOverdue = false;
	res.once('close', () => {
		if (!res.writableFinished) {
			disconnected.abort();
		}
	});

	function startHead(status: number, headers: AnswerHeaders): void {
		const closes = options.isStopping() || hasUnreadBody(req);
		res.writeHead(status, {...headers as Record<string, string>, 'x-request-id': requestId, ...(closes && {connection: 'close'})});
	}

	/** Limits the time in which an ended answer is read. An answer that nobody reads would keep its connection and its memory for ever, and delay a planned stop. */
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
			breakConnection(res);
		},
	});

	const exchange: CallerExchange = {
		requestId,
		receivedAt,
		isOverdue: () => isOverdue,
		method: req.method ?? 'GET',
		path: target.split('?', 1)[0]!,
		target,
		// Node joins repeated headers into one string, except Set-Cookie, which is not a request header.
		headers: req.headers as Record<string, string>,
		disconnectSignal: disconnected.signal,
		readClose: closeReader.read,
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

	return {
		exchange,
		noteStart(how) {
			isOverdue = how.isOverdue;
			if (isReadOn(req)) {
				closeReader.noteRead(how.turnAt);
			}
		},
	};
}
