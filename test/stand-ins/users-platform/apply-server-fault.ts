/** Faults of the stand-in server. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {resetSocket} from '../../_lib/reset-socket/index.js';

/** Fault with which the server treats the next request instead of serving it. */
export type ServerFault =
	| 'refuse' | 'refuse-unnamed' | 'wrong-instance' | 'fail' | 'answer-another' | 'cut-unframed' | 'reset' | 'silent' | EndlessFault | StreamFault;

/** Bytes that are no answer and go on until the connection is closed. */
export type EndlessFault = 'endless-refusal' | 'endless-heads' | 'endless-chunk-extension' | 'endless-event';

/**
 * Faults of a stream while it is written. Without framing, the stream ends with its
 * connection; a cut stream stops in the middle of its last event, and a paused one
 * waits before it.
 */
export type StreamFault = 'cut-stream' | 'paused-stream' | 'unframed-stream' | 'cut-unframed-stream';

const streamFaults: ReadonlySet<string> = new Set(['cut-stream', 'paused-stream', 'unframed-stream', 'cut-unframed-stream'] satisfies StreamFault[]);

/**
 * @param fault - Fault of a server, if any.
 * @returns Whether the server serves the request, but not the whole stream as usual.
 */
export function isStreamFault(fault: ServerFault | undefined): fault is StreamFault {
	return fault !== undefined && streamFaults.has(fault);
}

type FaultContext = {
	req: IncomingMessage;
	res: ServerResponse;
	answer: (res: ServerResponse, status: number, body: unknown, headers?: Record<string, string | undefined>) => void;
	/** Headers with which the server marks its own answers. */
	ownHeaders: Record<string, string>;
};

const refusal = 'HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\ntransfer-encoding: chunked\r\n\r\n';
const toStreamHead = ({'request-id': id, 'server-seal': seal}: Record<string, string>): string =>
	`HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nrequest-id: ${id}\r\nserver-seal: ${seal}\r\ntransfer-encoding: chunked\r\n\r\n`;
const junk = 'x'.repeat(0x40_00);
const junkChunk = `4000\r\n${junk}\r\n`;

/** Bytes with which each fault begins, and those that it repeats. */
const toEndlessBytes: Record<EndlessFault, (ownHeaders: Record<string, string>) => {first: string; repeated: string}> = {
	'endless-refusal': () => ({first: refusal, repeated: junkChunk}),
	'endless-heads': () => ({first: '', repeated: 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'.repeat(100)}),
	'endless-chunk-extension': ownHeaders => ({first: `${toStreamHead(ownHeaders)}5;`, repeated: junk}),
	'endless-event': ownHeaders => ({first: `${toStreamHead(ownHeaders)}6\r\ndata: \r\n`, repeated: junkChunk}),
};

/** Writes as fast as the other side reads. */
function writeEndlessly(socket: Socket, {first, repeated}: {first: string; repeated: string}): void {
	const writeMore = (): void => {
		while (!socket.destroyed && socket.write(repeated)) {
			// The socket takes more at once.
		}
	};

	socket.on('drain', writeMore);
	socket.write(first);
	writeMore();
}

/**
 * Treats a request with a fault instead of serving it. A silent server does nothing.
 *
 * @param fault - The fault.
 * @param context - The request, and how the server answers.
 */
export function applyServerFault(fault: Exclude<ServerFault, StreamFault>, {req, res, answer, ownHeaders}: FaultContext): void {
	const {socket} = req;
	switch (fault) {
		case 'refuse': {
			answer(res, 503, {error: 'full'}, {'not-executed': '1'});
			break;
		}

		case 'refuse-unnamed': {
			answer(res, 503, {error: 'full'}, {'not-executed': '1', 'request-id': undefined});
			break;
		}

		case 'wrong-instance': {
			answer(res, 421, {error: 'another'}, {'instance-id': 'i-another'});
			break;
		}

		case 'fail': {
			answer(res, 500, {error: 'failed'}, ownHeaders);
			break;
		}

		case 'answer-another': {
			answer(res, 200, {for: 'somebody else'}, {...ownHeaders, 'request-id': 'another'});
			break;
		}

		case 'cut-unframed': {
			socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${String(req.headers['request-id'])}\r\nserver-seal: x\r\n\r\nhalf`, () => {
				setImmediate(() => {
					resetSocket(socket);
				});
			});
			break;
		}

		case 'reset': {
			resetSocket(socket);
			break;
		}

		case 'silent': {
			break;
		}

		case 'endless-refusal':
		case 'endless-heads':
		case 'endless-chunk-extension':
		case 'endless-event': {
			writeEndlessly(socket, toEndlessBytes[fault](ownHeaders));
			break;
		}
	}
}
