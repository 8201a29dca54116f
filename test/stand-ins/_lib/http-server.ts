/**
 * The HTTP server that the stand-ins share: one handler, JSON in and out, and a
 * stop that closes every connection at once, as the end of the process would.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {isRecord} from '../../../src/_lib/is-record/index.js';
import {resetSocket} from '../../_lib/reset-socket/index.js';

export type JsonBody = Record<string, unknown>;

/** Thrown by a handler for a request that violates the protocol; the server answers with its status and body. */
export class RequestFault extends Error {
	constructor(readonly status: number, readonly body: unknown, readonly headers: Record<string, string> = {}) {
		super(`answered with ${status}`);
	}
}

export type HttpServer = {
	port: number;
	url: string;
	stop: () => Promise<void>;
};

export type HttpHandler = (req: IncomingMessage, res: ServerResponse, url: URL) => Promise<void>;

const maxBodyBytes = 16 * 1024 * 1024;

/** Answers with a JSON body. */
export const sendJson = (res: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void => {
	if (res.headersSent || res.destroyed) {
		return;
	}

	const text = JSON.stringify(body);
	res.writeHead(status, {'content-type': 'application/json', 'content-length': String(Buffer.byteLength(text)), ...headers});
	res.end(text);
};

/** Resets the connection of an answer, if it is still open. */
export const resetConnection = ({socket}: ServerResponse): void => {
	if (socket !== null) {
		resetSocket(socket);
	}
};

/** Reads a whole body as bytes. */
export const readBytes = async (req: IncomingMessage): Promise<Buffer> => {
	const parts: Buffer[] = [];
	let size = 0;
	for await (const part of req as AsyncIterable<Buffer>) {
		size += part.length;
		if (size > maxBodyBytes) {
			throw new RequestFault(413, {error: 'body too large'});
		}

		parts.push(part);
	}

	return Buffer.concat(parts);
};

/** Reads a whole body as a JSON object. */
export const readJson = async (req: IncomingMessage): Promise<JsonBody> => {
	const bytes = await readBytes(req);
	try {
		const value: unknown = JSON.parse(bytes.toString('utf8') || '{}');
		if (isRecord(value)) {
			return value;
		}
	} catch {}

	throw new RequestFault(400, {error: 'body is no JSON object'});
};

/** Reads a string field of a body. */
export const toText = (body: JsonBody, name: string): string => {
	const value = body[name];
	if (typeof value === 'string') {
		return value;
	}

	throw new RequestFault(400, {error: `${name} is no text`});
};

/** Reads a finite number from a field of a body. */
export const toNumber = (body: JsonBody, name: string, fallback?: number): number => {
	const value = body[name] ?? fallback;
	if (typeof value === 'number' && Number.isFinite(value)) {
		return value;
	}

	throw new RequestFault(400, {error: `${name} is no number`});
};

const answerFault = (res: ServerResponse, err: unknown): void => {
	if (err instanceof RequestFault) {
		sendJson(res, err.status, err.body, err.headers);
		return;
	}

	sendJson(res, 500, {error: String(err)});
};

const listen = async (server: Server, port: number, bind: string): Promise<number> => new Promise((resolve, reject) => {
	server.once('error', reject);
	server.listen(port, bind, () => {
		resolve((server.address() as AddressInfo).port);
	});
});

/**
 * Starts a server on loopback.
 *
 * @param handler Answers one request. A thrown {@link RequestFault} is answered with its status, any other error with 500.
 * @param port 0 for any free port.
 */
export const startHttpServer = async (handler: HttpHandler, port = 0, bind = '127.0.0.1'): Promise<HttpServer> => {
	const answer = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
		try {
			await handler(req, res, new URL(req.url ?? '/', 'http://stand-in'));
		} catch (error) {
			answerFault(res, error);
		}
	};

	const server = createServer((req, res) => {
		void answer(req, res);
	});
	server.keepAliveTimeout = 60_000;
	const bound = await listen(server, port, bind);
	return {
		port: bound,
		url: `http://${bind}:${bound}`,
		async stop() {
			const closed = new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
			server.closeAllConnections();
			await closed;
		},
	};
};
