/**
 * The operators' HTTP port: health, readiness, metrics, status, SLO burn and
 * accounts of requests. It is separate from the callers' port, so that callers
 * can't reach it and load from callers does not lock operators out.
 */
import {createServer, type Server} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import {isIP, type AddressInfo} from 'node:net';
import {createAdaptorServer} from '@hono/node-server';
import {err, ok, type Result} from 'neverthrow';
import {type Milliseconds} from '../../ports/clock.js';
import {bytesPerKibibyte, msPerSecond} from '../../ports/units.js';
import {type Keys} from '../keys/index.js';
import {createOperatorApp, type OperatorSources} from './create-operator-app.js';

export {type OperatorSources, type Readiness, type ReadinessReason} from './create-operator-app.js';

export type OperatorServerOptions = OperatorSources & {
	/** IP address to listen on. */
	bind: string;
	/** 0 for any free port. */
	port: number;
	/** Keys for TLS; plain HTTP when absent. */
	keys?: Keys | undefined;
};

export type OperatorServer = {
	port: number;
	/** Stops accepting connections, waits for answers in progress, and closes the remaining connections after the timeout. */
	close: (timeout: Milliseconds) => Promise<void>;
};

/** Why the port can't be opened, with the remedy in the message. */
export type OperatorServerFault = {kind: 'cannot-listen'; message: string};

// A few people and one or two metrics collectors use the port; more connections are a mistake or an attack.
const maxConnections = 64;
const requestTimeout = 10 * msPerSecond;

/**
 * Opens the operators' port.
 *
 * @param options - Address, sources of the documents, token and keys.
 * @returns The server with its actual port, or the reason why it can't listen.
 */
export async function startOperatorServer(options: OperatorServerOptions): Promise<Result<OperatorServer, OperatorServerFault>> {
	const {bind, port, keys} = options;
	const app = createOperatorApp(options);
	const limits = {
		maxHeaderSize: 16 * bytesPerKibibyte, headersTimeout: requestTimeout, requestTimeout, keepAliveTimeout: requestTimeout, connectionsCheckingInterval: msPerSecond,
	};
	const server = createAdaptorServer(keys === undefined
		? {fetch: app.fetch, createServer, serverOptions: limits}
		: {fetch: app.fetch, createServer: createTlsServer, serverOptions: {...limits, ...keys.current()}}) as Server;
	server.maxConnections = maxConnections;
	keys?.listen(event => {
		if (event.kind === 'reloaded' && 'setSecureContext' in server) {
			(server as unknown as {setSecureContext: (tls: object) => void}).setSecureContext(keys.current());
		}
	});

	const failure = await listen(server, bind, port);
	if (failure !== undefined) {
		return err({kind: 'cannot-listen', message: `The operators' port cannot be opened on ${bind}:${port} (${failure}): stop what uses it, or set another --operator-port.`});
	}

	return ok({
		port: (server.address() as AddressInfo).port,
		close: async timeout => closeServer(server, timeout),
	});
}

async function listen(server: Server, host: string, port: number): Promise<string | undefined> {
	if (isIP(host) === 0) {
		return 'not an IP address';
	}

	return new Promise(resolve => {
		server.once('error', (error: NodeJS.ErrnoException) => {
			resolve(error.code ?? error.message);
		});
		server.listen({host, port}, () => {
			// Later errors concern single connections, and node:http handles them itself.
			server.removeAllListeners('error');
			server.on('error', () => undefined);
			resolve(undefined);
		});
	});
}

async function closeServer(server: Server, timeout: Milliseconds): Promise<void> {
	await new Promise<void>(resolve => {
		const timer = setTimeout(() => {
			server.closeAllConnections();
		}, timeout);
		server.close(() => {
			clearTimeout(timer);
			resolve();
		});
		server.closeIdleConnections();
	});
}
