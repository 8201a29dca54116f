/**
 * The port on which callers come in. Routing is hono's; request and response
 * stay node's own, because a relayed token must not pass through a web stream.
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
import {type CallerExchange, createExchange, type ExchangeOptions} from './_lib/exchange.js';

export {type BodyFault, type CallerExchange} from './_lib/exchange.js';

/** Each takes one exchange and answers it; a rejection is a fault of the program. */
export type CallerHandlers = {
	completion: (exchange: CallerExchange) => Promise<void>;
	chat: (exchange: CallerExchange) => Promise<void>;
	models: (exchange: CallerExchange) => Promise<void>;
	/** Anything else: plain services by rule. */
	plain: (exchange: CallerExchange) => Promise<void>;
	/** A handler rejected. The exchange has been answered or broken off. */
	onFault: (error: unknown, exchange: CallerExchange) => void;
};

export type CallerServerOptions = {
	bind: string;
	port: number;
	maxConnections: number;
	maxHeaderBytes: number;
	headersTimeoutMs: number;
	keepAliveTimeoutMs: number;
	/** Time for which a caller may take no byte of the end of its answer. */
	writeTimeoutMs: number;
	/** Certificate and key; absent means plain HTTP. */
	tls?: SecureContextOptions | undefined;
	/** Passes everything to `plain`, as there is no interface of the system's own on this port. */
	isRelayOnly?: boolean | undefined;
} & Pick<ExchangeOptions, 'requestIdHeader' | 'problemStyle'>;

export type CallerServer = {
	/** Takes another time for which idle connections stay open. */
	setKeepAliveTimeout: (timeoutMs: number) => void;
	port: number;
	/** Exchanges that have not been answered whole. */
	openExchanges: () => number;
	/** Connections, idle ones included. */
	connections: () => number;
	/** Takes other keys for connections that come from now on. */
	renewTls: (tls: SecureContextOptions) => void;
	/** Answers say `Connection: close` from now on; connections are still taken. */
	startStopping: () => void;
	/** Takes no further connection, closes idle ones, and resolves when the last answer was sent. */
	close: () => Promise<void>;
	/** Breaks every connection. */
	destroy: () => void;
};

const connectionCheckMs = 500;
/** Connections above the limit are still told so, up to this many times the limit. */
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

	// What was sent to a backend server is unknown here, so nothing better may be said.
	exchange.sendProblem({kind: 'internal', detail: 'The router failed. Give the operators the request id.', outcome: 'may-have-run'});
}

/** Counts connections, and marks those above the limit. */
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
 * @param handlers - What answers each exchange.
 * @returns The running server.
 */
export async function startCallerServer(options: CallerServerOptions, handlers: CallerHandlers): Promise<CallerServer> {
	const open = new Set<CallerExchange>();
	const busy = new WeakMap<Socket, number>();
	let isStopping = false;
	let isClosing = false;
	let onIdle: (() => void) | undefined;

	/**
	 * Node takes a connection for idle as soon as its answer was ended, though a
	 * slow caller may not have read it yet: closing it then would cut a whole
	 * answer off in a planned stop. Idle ones wait until no answer is on its way.
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
		}

		if (open.size === 0) {
			onIdle?.();
		}
	}

	function isRefused(socket: Socket): boolean {
		// A TLS socket stands before the connection that was counted.
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

	const serve: Serve = (context, handler) => {
		const {incoming, outgoing} = context.env;
		const {socket} = incoming;
		const exchange = createExchange(incoming, outgoing, {
			isStopping: () => isStopping || isRefused(socket), writeTimeoutMs: options.writeTimeoutMs, requestIdHeader: options.requestIdHeader, problemStyle: options.problemStyle,
		});
		open.add(exchange);
		busy.set(socket, (busy.get(socket) ?? 0) + 1);
		outgoing.once('close', () => {
			finish(exchange, socket);
		});
		if (isRefused(socket)) {
			exchange.sendProblem({
				kind: 'too-many-connections', detail: 'This host has as many connections as it takes. Use fewer, or come back.', outcome: 'not-run', retryAfterMs: options.keepAliveTimeoutMs,
			});
		} else {
			void run(exchange, handler);
		}

		return RESPONSE_ALREADY_SENT;
	};

	const serverOptions = {
		// Such a request gets a problem document instead of node's empty answer.
		requireHostHeader: false,
		maxHeaderSize: options.maxHeaderBytes,
		headersTimeout: options.headersTimeoutMs,
		// Bodies have their own bound of time, which knows what kind of request it is.
		requestTimeout: 0,
		keepAliveTimeout: options.keepAliveTimeoutMs,
		connectionsCheckingInterval: connectionCheckMs,
		noDelay: true,
	};
	const listener = getRequestListener(createApp(handlers, serve, options.isRelayOnly ?? false).fetch, {overrideGlobalObjects: false, autoCleanupIncoming: false, errorHandler: answerBadRequest});
	const server = options.tls === undefined ? createServer(serverOptions, listener) : createTlsServer({...serverOptions, ...options.tls}, listener);
	const {refused, count} = watchConnections(server, options.maxConnections);

	server.on('clientError', (error, socket) => {
		const duplex = socket as Socket;
		// A problem written into an answer in progress would corrupt it; such a connection is only closed.
		if ((busy.get(duplex) ?? 0) > 0) {
			duplex.destroy();
			return;
		}

		answerClientError(error, duplex);
	});

	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen({port: options.port, host: options.bind, backlog: 1024}, resolve);
	});

	return {
		port: (server.address() as AddressInfo).port,
		openExchanges: () => open.size,
		connections: count,
		setKeepAliveTimeout(timeoutMs) {
			server.keepAliveTimeout = timeoutMs;
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
			// An HTTP server's own `close` also closes what it takes for idle.
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
