/** Faults of the stand-in server. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {resetSocket} from '../../_lib/reset-socket/index.js';

/** Fault with which the server treats the next request instead of serving it. */
export type ServerFault =
	| 'refuse' | 'wrong-instance' | 'fail' | 'answer-another' | 'cut-unframed' | 'reset' | 'silent' | StreamFault;

/**
 * Faults of a stream while it is written. Without framing, the stream ends with its
 * connection; a cut stream stops in the middle of its last event.
 */
export type StreamFault = 'cut-stream' | 'unframed-stream' | 'cut-unframed-stream';

const streamFaults: ReadonlySet<string> = new Set(['cut-stream', 'unframed-stream', 'cut-unframed-stream'] satisfies StreamFault[]);

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
	answer: (res: ServerResponse, status: number, body: unknown, headers?: Record<string, string>) => void;
	/** Headers with which the server marks its own answers. */
	ownHeaders: Record<string, string>;
};

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
	}
}
