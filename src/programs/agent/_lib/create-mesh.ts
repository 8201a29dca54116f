/**
 * Connections to the agents of other hosts. A connection is opened on the first
 * message, used by both sides, and dropped when the peer has been silent for too
 * long, so that a new connection is made at once when the network recovers.
 */
import {err, type Result} from 'neverthrow';
import {
	connectPeer, type CallHandler, type PeerConnection, type PeerFailure, type PeerHello, type PeerKeys,
} from '../../../adapters/peer-tcp/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type HostId} from '../../../ports/ids.js';

/** Maximum number of events that wait for a connection to be opened. */
const maxQueued = 32;
const connectTimeoutMs = 1000;

/** Bounds the memory that addresses of replaced hosts take. */
const maxReportedAddresses = 1000;

export type MeshOptions = {
	hello: () => PeerHello;
	tls: (() => PeerKeys) | undefined;
	onCall: CallHandler;
	onEvent: (peer: PeerHello, name: string, body: unknown) => void;
	/** Time without a byte from a peer to which something was sent, after which its connection is dropped, milliseconds. */
	silenceMs: Milliseconds;
	/** Called when connecting to a peer fails; once until a connection succeeds. */
	onUnreachable?: (address: string, reason: string) => void;
};

export type Target = {
	/** `undefined` for an address whose host is not known. */
	to: HostId | undefined;
	/** `IP:port`; empty to use only a connection that is open. */
	address: string;
};

export type Mesh = {
	/** Sends an event, over a new connection if none is open. The event may be lost. */
	send: (target: Target, name: string, body: unknown) => void;
	call: (target: Target, method: string, body: unknown, options: {timeoutMs: Milliseconds}) => Promise<Result<unknown, PeerFailure>>;
	/** Uses a connection that a peer has opened. */
	addConnection: (connection: PeerConnection) => void;
	/** Drops connections whose peer has been silent for too long; called on every tick. */
	dropSilent: (now: Milliseconds) => void;
	/** Measures the silence of all peers from now on. After a pause of this process, the silence before was its own. */
	resetSilence: (now: Milliseconds) => void;
	bytes: () => {sent: number; received: number; connections: number};
	close: () => void;
};

type Traffic = {sent: number; received: number; heardAt: Milliseconds; sentWhenHeard: number};

/**
 * Creates a mesh without connections.
 *
 * @param options - See {@link MeshOptions}.
 * @returns See {@link Mesh}.
 */
export function createMesh(options: MeshOptions): Mesh {
	const {hello, tls, onCall, onEvent, silenceMs} = options;
	const byHost = new Map<HostId, Set<PeerConnection>>();
	const connecting = new Map<string, Promise<PeerConnection | undefined>>();
	const queued = new Map<string, number>();
	const reportedAddresses = new Set<string>();
	const traffic = new Map<PeerConnection, Traffic>();
	const closedTraffic = {sent: 0, received: 0};
	let isClosed = false;

	function forget(connection: PeerConnection) {
		const {host} = connection.peer;
		const ofHost = byHost.get(host);
		ofHost?.delete(connection);
		if (ofHost?.size === 0) {
			byHost.delete(host);
		}

		if (traffic.delete(connection)) {
			const {sent, received} = connection.bytes();
			closedTraffic.sent += sent;
			closedTraffic.received += received;
		}
	}

	async function track(connection: PeerConnection) {
		const {host} = connection.peer;
		byHost.set(host, (byHost.get(host) ?? new Set()).add(connection));
		traffic.set(connection, {
			sent: 0, received: 0, heardAt: -1, sentWhenHeard: 0,
		});
		await connection.closed;
		forget(connection);
	}

	function findConnection(to: HostId | undefined): PeerConnection | undefined {
		return to === undefined ? undefined : [...byHost.get(to) ?? []].at(-1);
	}

	/** Reports the reason of a failed connection. A peer whose keys are of another authority looks like a dead host everywhere else; only here is the reason known. */
	function reportUnreachable(address: string, reason: string) {
		if (reportedAddresses.size >= maxReportedAddresses) {
			reportedAddresses.clear();
		}

		if (!reportedAddresses.has(address) && !isClosed) {
			reportedAddresses.add(address);
			options.onUnreachable?.(address, reason);
		}
	}

	async function open(address: string): Promise<PeerConnection | undefined> {
		const connected = await connectPeer({
			address, hello, tls, onCall, onEvent, connectTimeoutMs,
		});
		connecting.delete(address);
		if (connected.isErr()) {
			reportUnreachable(address, connected.error.message);
			return undefined;
		}

		reportedAddresses.delete(address);
		const connection = connected.value;
		const isUnwanted = isClosed || connection.peer.role !== 'agent' || connection.peer.host === hello().host;
		if (isUnwanted) {
			connection.close();
			return undefined;
		}

		void track(connection);
		return connection;
	}

	async function toConnection({to, address}: Target): Promise<PeerConnection | undefined> {
		const known = findConnection(to);
		const isOutOfReach = address === '' || isClosed;
		if (known !== undefined || isOutOfReach) {
			return known;
		}

		const pending = connecting.get(address) ?? open(address);
		connecting.set(address, pending);
		return pending;
	}

	async function sendLater(target: Target, name: string, body: unknown) {
		const count = queued.get(target.address) ?? 0;
		if (count >= maxQueued) {
			return;
		}

		queued.set(target.address, count + 1);
		const connection = await toConnection(target);
		connection?.send(name, body);
		const left = (queued.get(target.address) ?? 1) - 1;
		if (left === 0) {
			queued.delete(target.address);
		} else {
			queued.set(target.address, left);
		}
	}

	function isSilent(connection: PeerConnection, now: Milliseconds): boolean {
		const last = traffic.get(connection)!;
		const {sent, received} = connection.bytes();
		if (last.heardAt === -1 || received > last.received) {
			traffic.set(connection, {
				sent, received, heardAt: now, sentWhenHeard: sent,
			});
			return false;
		}

		if (sent === last.sentWhenHeard) {
			last.heardAt = now;
		}

		return now - last.heardAt > silenceMs;
	}

	return {
		send(target, name, body) {
			const connection = findConnection(target.to);
			if (connection) {
				connection.send(name, body);
			} else {
				void sendLater(target, name, body);
			}
		},
		async call(target, method, body, callOptions) {
			const connection = await toConnection(target);
			return connection
				? connection.call(method, body, callOptions)
				: err({kind: 'unreachable', sent: false, message: `Host ${target.to ?? target.address} was not reached.`});
		},
		addConnection(connection) {
			void track(connection);
		},
		dropSilent(now) {
			for (const connection of traffic.keys()) {
				if (isSilent(connection, now)) {
					forget(connection);
					connection.close();
				}
			}
		},
		resetSilence(now) {
			for (const last of traffic.values()) {
				last.heardAt = now;
			}
		},
		bytes() {
			const open = [...traffic.keys()].map(connection => connection.bytes());
			return {
				sent: open.reduce((sum, {sent}) => sum + sent, closedTraffic.sent),
				received: open.reduce((sum, {received}) => sum + received, closedTraffic.received),
				connections: open.length,
			};
		},
		close() {
			isClosed = true;
			for (const connection of traffic.keys()) {
				connection.close();
			}
		},
	};
}
