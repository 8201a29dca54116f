/**
 * The operators' port: health, readiness, metrics, status, service-level burn
 * and accounts of requests, over HTTP by hono. A port of its own, so that no
 * caller reaches it and no load of callers keeps operators out.
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
	/** IP number to listen on. */
	bind: string;
	/** 0 for any free port. */
	port: number;
	/** Turns TLS on. */
	keys?: Keys | undefined;
};

export type OperatorServer = {
	port: number;
	/** Takes no new connection, lets answers in work end, and closes what is left after the time given. */
	close: (timeout: Milliseconds) => Promise<void>;
};

/** Why the port cannot be opened, and what to do. */
export type OperatorServerFault = {kind: 'cannot-listen'; message: string};

// Few people and one or two collectors use the port; more is a mistake or an attack.
const maxConnections = 64;
const requestTimeout = 10 * msPerSecond;

/**
 * Opens the operators' port.
 *
 * @param options - Address, what to show, and who may see it.
 * @returns The server with the port it got, or why it could not listen.
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
		return 'not an IP number';
	}

	return new Promise(resolve => {
		server.once('error', (error: NodeJS.ErrnoException) => {
			resolve(error.code ?? error.message);
		});
		server.listen({host, port}, () => {
			// Later errors are those of single connections, which node:http answers itself.
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
