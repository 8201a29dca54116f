/**
 * The HTTP port for callers. Hono does the routing; requests and responses are
 * node's own, because passing each relayed token through a web stream would be
 * too expensive.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {createServer as createTlsServer, type Server as TlsServer} from 'node:https';
import {type AddressInfo, Server as NetServer, type Socket} from 'node:net';
import {type SecureContextOptions} from 'node:tls';
import {getRequestListener, type HttpBindings} from '@hono/node-server';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Hono, type Context} from 'hono';
import {answerBadRequest, answerClientError} from './_lib/answer-client-error.js';
import {createConnectionLimits} from './_lib/create-connection-limits.js';
import {createRequestStarter, type Startable} from './_lib/create-request-starter.js';
import {type CallerExchange, createExchange, type ExchangeOptions} from './_lib/exchange.js';

export {type AnswerHeaders, type BodyFault, type CallerExchange} from './_lib/exchange.js';

/** Handlers that answer an exchange each. A rejection is a fault of the program. */
export type CallerHandlers = {
	completion: (exchange: CallerExchange) => Promise<void>;
	chat: (exchange: CallerExchange) => Promise<void>;
	models: (exchange: CallerExchange) => Promise<void>;
	/** Answers everything else: plain services, found by rules. */
	plain: (exchange: CallerExchange) => Promise<void>;
	/** Called when a handler rejected. The exchange is then answered with a problem, or its connection is broken. */
	onFault: (error: unknown, exchange: CallerExchange) => void;
};

/** Limits that may change while the server runs. */
export type ConnectionBounds = {
	/** Bytes of the head of a request. */
	maxHeaderBytes: number;
	/** Time for the head of a request, milliseconds. */
	headersTimeoutMs: number;
	/** Time for which idle connections stay open, milliseconds. */
	keepAliveTimeoutMs: number;
};

export type CallerServerOptions = ConnectionBounds & {
	bind: string;
	port: number;
	maxConnections: number;
	/** Time without progress after which the connection of a caller that does not read the end of its answer is closed, milliseconds. */
	writeTimeoutMs: number;
	/** Certificate and key; absent means plain HTTP. */
	tls?: SecureContextOptions | undefined;
	/** Routes everything to `plain`; the OpenAI-compatible interface is not served on this port. */
	isRelayOnly?: boolean | undefined;
	/** Time for which a request may wait to be started before it is refused, milliseconds. */
	toMaxWaitMs: (headers: CallerExchange['headers']) => number;
	/** Called when a caller has left whose request was read and not started. */
	onLeftUnstarted?: ((exchange: CallerExchange) => void) | undefined;
} & Pick<ExchangeOptions, 'now' | 'requestIdHeader' | 'problemStyle'>;

export type CallerServer = {
	/** Changes the limits. Connections that are open close after their next answer, or at once if they are idle, where Node fixed their limit when they opened. */
	setBounds: (bounds: ConnectionBounds) => void;
	port: number;
	/** Number of exchanges whose answer has not been sent completely. */
	openExchanges: () => number;
	/** Number of requests that were read and not started. */
	unstarted: () => number;
	/** Number of connections, including idle ones. */
	connections: () => number;
	/** Uses other keys for new connections. */
	renewTls: (tls: SecureContextOptions) => void;
	/** From now on answers carry `Connection: close`; new connections are still accepted. */
	startStopping: () => void;
	/** Stops accepting connections, closes idle ones, and resolves when the last answer was sent. */
	close: () => Promise<void>;
	/** Destroys all connections. */
	destroy: () => void;
};

const connectionCheckMs = 500;
/** Connections above the limit get a problem document, up to this multiple of the limit; further ones are dropped. */
const refusedConnectionsFactor = 2;

type AppEnvironment = {Bindings: HttpBindings};
type Serve = (context: Context<AppEnvironment>, handler: (exchange: CallerExchange) => Promise<void>) => Response;

function createApp(handlers: CallerHandlers, serve: Serve, isRelayOnly: boolean): Hono<AppEnvironment> {
	const app = new Hono<AppEnvironment>();
	if (isRelayOnly) {
		app.all('*', context => serve(context, handlers.plain));
		return app;
	}

	const refuseMethod = async (exchange: CallerExchange) => {
		exchange.sendProblem({kind: 'method-not-allowed', detail: `${exchange.method} is not allowed at ${exchange.path}. Completions take POST, the list of models takes GET.`, outcome: 'not-run'});
	};

	app.post('/v1/completions', context => serve(context, handlers.completion));
	app.post('/v1/chat/completions', context => serve(context, handlers.chat));
	app.get('/v1/models', context => serve(context, handlers.models));
	for (const path of ['/v1/completions', '/v1/chat/completions', '/v1/models']) {
		app.all(path, context => serve(context, refuseMethod));
	}

	app.all('*', context => serve(context, handlers.plain));
	return app;
}

function failExchange(exchange: CallerExchange): void {
	if (exchange.isStarted()) {
		exchange.destroy();
		return;
	}

	// It is unknown here whether the request was sent to a backend server, so `not-run` must not be claimed.
	exchange.sendProblem({kind: 'internal', detail: 'The router failed. Give the operators the request id.', outcome: 'may-have-run'});
}

/** Counts connections, and records those above the limit. */
function watchConnections(server: Server | TlsServer, maxConnections: number): {refused: WeakSet<Socket>; count: () => number} {
	const refused = new WeakSet<Socket>();
	let connections = 0;
	server.maxConnections = maxConnections * refusedConnectionsFactor;
	server.on('connection', (socket: Socket) => {
		connections++;
		if (connections > maxConnections) {
			refused.add(socket);
		}

		socket.once('close', () => {
			connections--;
		});
	});
	return {refused, count: () => connections};
}

/**
 * Starts the callers' port.
 *
 * @param options - Address, limits and keys.
 * @param handlers - Handlers that answer the exchanges.
 * @returns The running server.
 */
export async function startCallerServer(options: CallerServerOptions, handlers: CallerHandlers): Promise<CallerServer> {
	const open = new Set<CallerExchange>();
	const busy = new WeakMap<Socket, number>();
	const starter = createRequestStarter({
		now: options.now,
		schedule(runTurn) {
			setImmediate(runTurn);
		},
	});
	const isBusy = (socket: Socket): boolean => (busy.get(socket) ?? 0) > 0;
	let isStopping = false;
	let isClosing = false;
	let onIdle: (() => void) | undefined;

	/**
	 * Closes idle connections, unless an answer is still being sent. Node treats a
	 * connection as idle as soon as its answer was ended, although a slow caller may
	 * not have read the answer yet. Closing it during a planned stop would truncate
	 * a complete answer, so idle connections stay open until no answer is in flight.
	 */
	function closeIdle(): void {
		if (![...open].some(exchange => exchange.isFlushing())) {
			server.closeIdleConnections();
		}
	}

	function finish(exchange: CallerExchange, socket: Socket): void {
		open.delete(exchange);
		busy.set(socket, (busy.get(socket) ?? 1) - 1);
		if (isClosing) {
			closeIdle();
		} else if (!isBusy(socket)) {
			limits.noteIdle(socket);
		}

		if (open.size === 0) {
			onIdle?.();
		}
	}

	function isRefused(socket: Socket): boolean {
		// A TLS socket wraps the TCP socket that was counted.
		const {_parent: parent} = socket as Socket & {_parent?: Socket};
		return refused.has(socket) || (parent !== undefined && refused.has(parent));
	}

	async function run(exchange: CallerExchange, handler: (exchange: CallerExchange) => Promise<void>): Promise<void> {
		try {
			await handler(exchange);
		} catch (error) {
			handlers.onFault(error, exchange);
			failExchange(exchange);
		}
	}

	/** Starts the request when its turn has come, unless its caller leaves before. */
	function startInTurn(exchange: CallerExchange, start: Startable['start']): void {
		const {receivedAt, headers, disconnectSignal} = exchange;
		const request: Startable = {readAt: receivedAt, maxWaitMs: options.toMaxWaitMs(headers), start};
		disconnectSignal.addEventListener('abort', () => {
			if (starter.remove(request)) {
				options.onLeftUnstarted?.(exchange);
			}
		}, {once: true});
		starter.add(request);
	}

	const serve: Serve = (context, handler) => {
		const {incoming, outgoing} = context.env;
		const {socket} = incoming;
		const {exchange, noteStart} = createExchange(incoming, outgoing, {
			now: options.now, isStopping: () => isStopping || isRefused(socket) || limits.isOutdated(socket), writeTimeoutMs: options.writeTimeoutMs, requestIdHeader: options.requestIdHeader, problemStyle: options.problemStyle,
		});
		open.add(exchange);
		busy.set(socket, (busy.get(socket) ?? 0) + 1);
		outgoing.once('close', () => {
			finish(exchange, socket);
		});
		if (isRefused(socket)) {
			exchange.sendProblem({
				kind: 'too-many-connections', detail: 'This host has reached its limit of connections. Use fewer, or retry later.', outcome: 'not-run', retryAfterMs: options.keepAliveTimeoutMs,
			});
		} else {
			startInTurn(exchange, how => {
				noteStart(how);
				void run(exchange, handler);
			});
		}

		return RESPONSE_ALREADY_SENT;
	};

	const serverOptions = {
		// A request without a Host header gets a problem document instead of node's empty answer.
		requireHostHeader: false,
		maxHeaderSize: options.maxHeaderBytes,
		headersTimeout: options.headersTimeoutMs,
		// The time limit for bodies depends on the kind of request and is enforced by `readBody`.
		requestTimeout: 0,
		keepAliveTimeout: options.keepAliveTimeoutMs,
		connectionsCheckingInterval: connectionCheckMs,
		noDelay: true,
	};
	const listener = getRequestListener(createApp(handlers, serve, options.isRelayOnly ?? false).fetch, {overrideGlobalObjects: false, autoCleanupIncoming: false, errorHandler: answerBadRequest});
	const server = options.tls === undefined ? createServer(serverOptions, listener) : createTlsServer({...serverOptions, ...options.tls}, listener);
	const {refused, count} = watchConnections(server, options.maxConnections);
	const limits = createConnectionLimits(server, isBusy);
	server.on('connection', starter.noteAccepted);

	server.on('clientError', (error, socket) => {
		const duplex = socket as Socket;
		// A problem written into an answer in progress would corrupt that answer, so the connection is only closed.
		if (isBusy(duplex)) {
			duplex.destroy();
			return;
		}

		answerClientError(error, duplex, {isLimitRaised: limits.isTooLow(duplex)});
	});

	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen({port: options.port, host: options.bind, backlog: 1024}, resolve);
	});

	return {
		port: (server.address() as AddressInfo).port,
		openExchanges: () => open.size,
		unstarted: starter.size,
		connections: count,
		setBounds({maxHeaderBytes, headersTimeoutMs, keepAliveTimeoutMs}) {
			server.headersTimeout = headersTimeoutMs;
			server.keepAliveTimeout = keepAliveTimeoutMs;
			limits.set(maxHeaderBytes);
		},
		renewTls(tls) {
			if ('setSecureContext' in server) {
				server.setSecureContext(tls);
			}
		},
		startStopping() {
			isStopping = true;
		},
		async close() {
			isStopping = true;
			isClosing = true;
			// The `close` method of an HTTP server would also close connections that node wrongly treats as idle.
			NetServer.prototype.close.call(server);
			closeIdle();
			if (open.size > 0) {
				await new Promise<void>(resolve => {
					onIdle = resolve;
				});
			}

			server.close();
		},
		destroy() {
			server.closeAllConnections();
		},
	};
}
