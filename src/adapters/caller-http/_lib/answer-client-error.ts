/**
 * Answers to input that node's HTTP parser refuses before there is a request.
 */
import {type Socket} from 'node:net';
import {STATUS_CODES} from 'node:http';
import {v7 as createUuidV7} from 'uuid';
import {type Problem, toProblem} from '../../../domain/to-problem/index.js';

/** Error of node's HTTP parser, with node's `code`. */
export type ClientError = Error & {code?: string};

const overflowCode = 'HPE_HEADER_OVERFLOW';

const detailsByCode: Readonly<Record<string, Pick<Problem, 'kind' | 'detail'>>> = {
	[overflowCode]: {kind: 'header-too-large', detail: 'The request line and headers are larger than this host accepts. Send fewer or shorter headers.'},
	ERR_HTTP_REQUEST_TIMEOUT: {kind: 'slow-request', detail: 'The headers did not arrive in time. Send all headers without delay.'},
};

/** The client may send its headers again at once, on a new connection. */
const limitRaised: Pick<Problem, 'kind' | 'detail' | 'retryAfterMs'> = {
	kind: 'connection-outdated', detail: 'The headers are larger than was accepted when this connection was opened. Send the request again on a new connection.', retryAfterMs: 0,
};

const malformed: Pick<Problem, 'kind' | 'detail'> = {
	kind: 'bad-request', detail: 'This is not an HTTP/1.1 request. Check the request line, the header lines and the framing of the body.',
};

/**
 * Sends a problem document over a socket that has no request yet, and ends it.
 *
 * @param error - Error of the parser.
 * @param socket - The caller's connection.
 * @param options - `isLimitRaised`: whether new connections accept larger headers than this one.
 */
export function answerClientError(error: ClientError, socket: Socket, {isLimitRaised}: {isLimitRaised: boolean}): void {
	if (error.code === 'ECONNRESET' || !socket.writable) {
		socket.destroy();
		return;
	}

	const requestId = createUuidV7();
	const problem = isLimitRaised && error.code === overflowCode ? limitRaised : detailsByCode[error.code ?? ''] ?? malformed;
	const {status, headers, body} = toProblem({...problem, outcome: 'not-run'}, requestId);
	const lines = Object.entries({
		...headers, 'content-length': String(Buffer.byteLength(body)), connection: 'close', 'x-request-id': requestId,
	}).map(([name, value]) => `${name}: ${value}`);
	socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\n${lines.join('\r\n')}\r\n\r\n${body}`);
}

/**
 * Answers a request for which no URL can be formed, because it has no valid Host header.
 *
 * @returns The answer.
 */
export function answerBadRequest(): Response {
	const requestId = createUuidV7();
	const {status, headers, body} = toProblem({
		kind: 'bad-request', detail: 'The Host header is missing or not valid. Send one, such as "Host: 127.0.0.1:7400".', outcome: 'not-run',
	}, requestId);
	return new Response(body, {status, headers: {...headers, 'x-request-id': requestId, connection: 'close'}});
}
