/**
 * Calls and events between the processes of this system over TCP, with mutual
 * TLS if configured. The frames are described in `docs/design/002-interfaces.md`.
 */
import {type Buffer} from 'node:buffer';
import net, {type AddressInfo, type Socket} from 'node:net';
import tls from 'node:tls';
import {ResultAsync} from 'neverthrow';
import {createDeferred} from '../../_lib/create-deferred/index.js';
import {type PeerHello} from './_lib/frame.js';
import {openConnection} from './_lib/open-connection.js';
import {
	defaultLimits, type CallHandler, type EventHandler, type PeerConnection, type PeerFailure, type PeerLimits,
} from './_lib/peer-types.js';

export {type PeerHello, type PeerRole} from './_lib/frame.js';
export {
	type CallHandler, type EventHandler, type PeerConnection, type PeerFailure, type PeerFailureKind, type PeerLimits,
} from './_lib/peer-types.js';

/** This process's key and certificate, and the certificate of the authority that signs its peers' certificates, PEM. */
export type PeerKeys = {
	key: string | Buffer;
	cert: string | Buffer;
	ca?: string | Buffer;
};

/** A value, or a function that returns the current value. */
type ValueOrGetter<T> = T | (() => T);

const defaultConnectTimeoutMs = 1000;
const keepAliveDelayMs = 10_000;

function toHello(hello: ValueOrGetter<PeerHello>): PeerHello {
	return typeof hello === 'function' ? hello() : hello;
}

export type ListenOptions = {
	/** IP to listen on. */
	bind: string;
	/** 0 for any free port. */
	port: number;
	hello: ValueOrGetter<PeerHello>;
	onCall?: CallHandler;
	onEvent?: EventHandler;
	/** Called when a peer has connected and sent its hello. */
	onConnect?: (connection: PeerConnection) => void;
	/** Called when a connection was refused or failed before the peer's hello. */
	onRefused?: (reason: string) => void;
	/** Mutual TLS with the keys that it returns; plain TCP when absent. */
	tls?: () => PeerKeys;
	limits?: Partial<PeerLimits>;
};

export type PeerListener = {
	port: number;
	/** Uses the current keys for later connections; open connections continue. */
	reloadKeys: () => void;
	/** Connections that are open now. */
	connections: () => ReadonlySet<PeerConnection>;
	/** Stops listening and closes all connections; resolves when all are closed. */
	close: () => Promise<void>;
};

/**
 * Listens for peers.
 *
 * @param options - See {@link ListenOptions}.
 * @returns The listener once it listens; rejects when the port can't be bound.
 */
export async function listenPeers(options: ListenOptions): Promise<PeerListener> {
	const {bind, port, hello, onCall, onEvent, onConnect, onRefused} = options;
	const limits = {...defaultLimits, ...options.limits};
	const sockets = new Set<Socket>();
	const connections = new Set<PeerConnection>();

	async function serve(socket: Socket) {
		socket.setNoDelay(true);
		socket.setKeepAlive(true, keepAliveDelayMs);
		try {
			const connection = await openConnection(socket, {
				hello: toHello(hello), isInitiator: false, handlers: {onCall, onEvent}, limits,
			});
			connections.add(connection);
			onConnect?.(connection);
			await connection.closed;
			connections.delete(connection);
		} catch (error) {
			onRefused?.(error instanceof Error ? error.message : 'unknown error');
		}
	}

	const server = options.tls
		? tls.createServer({
			...options.tls(), requestCert: true, rejectUnauthorized: true, handshakeTimeout: limits.helloTimeoutMs,
		})
		: net.createServer();
	server.maxConnections = limits.connections;
	server.on('connection', (socket: Socket) => {
		sockets.add(socket);
		socket.on('close', () => sockets.delete(socket));
	});
	server.on(options.tls ? 'secureConnection' : 'connection', (socket: Socket) => {
		void serve(socket);
	});
	server.on('tlsClientError', (error: Error) => onRefused?.(error.message));

	const listening = createDeferred();
	server.once('error', listening.reject);
	server.listen(port, bind, listening.resolve);
	await listening.promise;

	return {
		port: (server.address() as AddressInfo).port,
		reloadKeys() {
			if (options.tls && server instanceof tls.Server) {
				server.setSecureContext(options.tls());
			}
		},
		connections: () => connections,
		async close() {
			const closed = createDeferred();
			server.close(() => {
				closed.resolve();
			});
			for (const socket of sockets) {
				socket.destroy();
			}

			await closed.promise;
		},
	};
}

export type ConnectOptions = {
	/** `IP:port`, or `[IP]:port` for IPv6. */
	address: string;
	hello: ValueOrGetter<PeerHello>;
	/** Time for the connection and the peer's hello, milliseconds. */
	connectTimeoutMs?: number;
	onCall?: CallHandler;
	onEvent?: EventHandler;
	/** Mutual TLS with the keys that it returns; plain TCP when absent. */
	tls?: () => PeerKeys;
	limits?: Partial<PeerLimits>;
};

/**
 * Splits an address.
 *
 * @param address - `IP:port`, or `[IP]:port` for IPv6.
 * @returns Host and port; `undefined` when the address is invalid.
 */
export function parseAddress(address: string): {host: string; port: number} | undefined {
	const match = /^(?:\[(?<six>[\d:a-f]+)\]|(?<four>[^:\[\]]+)):(?<port>\d{1,5})$/iv.exec(address);
	const port = Number(match?.groups?.port);
	const host = match?.groups?.six ?? match?.groups?.four;
	return host === undefined || port < 1 || port > 65_535 ? undefined : {host, port};
}

function openSocket({host, port}: {host: string; port: number}, keys: PeerKeys | undefined): Socket {
	// Hosts are replaced at any time and addressed by IP, so a certificate is
	// verified by its authority alone and not by the name in it.
	return keys
		? tls.connect({
			host, port, ...keys, rejectUnauthorized: true, checkServerIdentity: () => undefined,
		})
		: net.connect({host, port});
}

async function connect(options: ConnectOptions): Promise<PeerConnection> {
	const target = parseAddress(options.address);
	if (!target) {
		throw new Error(`"${options.address}" is not IP:port`);
	}

	const timeoutMs = options.connectTimeoutMs ?? defaultConnectTimeoutMs;
	const socket = openSocket(target, options.tls?.());
	const connected = createDeferred();
	const timer = setTimeout(() => {
		socket.destroy(new Error(`no connection within ${timeoutMs} ms`));
	}, timeoutMs);
	socket.once('error', connected.reject);
	socket.once(options.tls ? 'secureConnect' : 'connect', connected.resolve);
	socket.once('close', () => {
		connected.reject(new Error('the connection ended'));
	});
	try {
		await connected.promise;
	} finally {
		clearTimeout(timer);
	}

	socket.setNoDelay(true);
	socket.setKeepAlive(true, keepAliveDelayMs);
	const {onCall, onEvent} = options;
	return openConnection(socket, {
		hello: toHello(options.hello),
		isInitiator: true,
		handlers: {onCall, onEvent},
		limits: {...defaultLimits, helloTimeoutMs: timeoutMs, ...options.limits},
	});
}

/**
 * Connects to a peer and exchanges hellos.
 *
 * @param options - See {@link ConnectOptions}.
 * @returns The connection, or an `unreachable` failure with the reason.
 */
export function connectPeer(options: ConnectOptions): ResultAsync<PeerConnection, PeerFailure> {
	return ResultAsync.fromPromise(connect(options), error => ({
		kind: 'unreachable',
		sent: false,
		message: `Peer ${options.address} was not reached: ${error instanceof Error ? error.message : 'unknown error'}.`,
	}));
}
