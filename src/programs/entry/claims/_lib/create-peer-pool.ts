import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {type PeerConnection, type PeerFailure} from '../../../../adapters/peer-tcp/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';

export type PeerPool = {
	/** Returns the open connection to an address, or opens one. */
	get: (address: string) => ResultAsync<PeerConnection, PeerFailure>;
	/**
	 * Calls a peer, and retries once over a new connection if the pooled connection
	 * turns out to be dead. A peer that restarts leaves dead connections behind, and
	 * without the retry the first call after its restart would fail. Only for
	 * idempotent calls.
	 */
	callWithRetry: (address: string, method: string, body: unknown, timeoutMs: Milliseconds) => ResultAsync<{connection: PeerConnection; reply: unknown}, PeerFailure>;
	/** Closes connections that have been unused for longer than `idleMs`. */
	closeIdle: () => void;
	close: () => void;
};

export type PeerPoolOptions = {
	connect: (address: string) => ResultAsync<PeerConnection, PeerFailure>;
	/** Monotonic milliseconds. */
	now: () => Milliseconds;
	idleMs: Milliseconds;
};

type PooledConnection = {
	connecting: ResultAsync<PeerConnection, PeerFailure>;
	usedAt: Milliseconds;
};

/**
 * Creates a pool with one connection to each peer in use. The witnesses of keys
 * are spread over the fleet, so connections are opened on demand and closed when
 * idle.
 *
 * @param options - How to connect, and how long an idle connection stays open.
 * @returns The pool.
 */
export function createPeerPool({connect, now, idleMs}: PeerPoolOptions): PeerPool {
	const pooled = new Map<string, PooledConnection>();
	let isClosed = false;

	async function removeWhenClosed(address: string, entry: PooledConnection) {
		const connected = await entry.connecting;
		if (connected.isOk()) {
			await connected.value.closed;
		}

		if (pooled.get(address) === entry) {
			pooled.delete(address);
		}
	}

	function open(address: string): PooledConnection {
		const entry = {connecting: connect(address), usedAt: now()};
		pooled.set(address, entry);
		void removeWhenClosed(address, entry);
		return entry;
	}

	async function end(entry: PooledConnection) {
		const connected = await entry.connecting;
		if (connected.isOk()) {
			connected.value.close();
		}
	}

	function get(address: string): ResultAsync<PeerConnection, PeerFailure> {
		if (isClosed) {
			return errAsync({kind: 'unreachable', sent: false, message: 'This process is stopping.'});
		}

		const entry = pooled.get(address) ?? open(address);
		entry.usedAt = now();
		return entry.connecting.andThen(connection => okAsync(connection));
	}

	function callOnce(address: string, method: string, body: unknown, timeoutMs: Milliseconds) {
		return get(address).andThen(connection => connection.call(method, body, {timeoutMs}).map(reply => ({connection, reply})));
	}

	return {
		get,
		callWithRetry: (address, method, body, timeoutMs) => callOnce(address, method, body, timeoutMs).orElse(failure => {
			if (failure.kind !== 'broken' && failure.kind !== 'not-sent') {
				return errAsync(failure);
			}

			pooled.delete(address);
			return callOnce(address, method, body, timeoutMs);
		}),
		closeIdle() {
			for (const [address, entry] of pooled) {
				if (now() - entry.usedAt > idleMs) {
					pooled.delete(address);
					void end(entry);
				}
			}
		},
		close() {
			isClosed = true;
			for (const entry of pooled.values()) {
				void end(entry);
			}

			pooled.clear();
		},
	};
}
