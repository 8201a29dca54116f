/**
 * Stand-in for a network link: a TCP relay that can be cut in either or both
 * directions, slowed, reset and healed. A cut discards bytes and keeps
 * connections open, so neither end notices, as in a network partition.
 */
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {resetSocket} from '../../_lib/reset-socket/index.js';

export type LinkStandInOptions = {
	/** `IP:port` or `http://IP:port` to which connections are relayed. */
	target: string;
	port?: number;
	bind?: string;
	delayMs?: number;
	/** Cuts by source address, in addition to {@link LinkStandIn.cut}; called for each chunk. Call {@link LinkStandIn.refresh} when its results change. */
	isCutFor?: (sourceAddress: string, direction: LinkDirection) => boolean;
};

export type LinkDirection = 'to-target' | 'from-target';

/** `to-target` discards what the connecting side sends, `from-target` what the target sends back. */
export type LinkCut = 'none' | 'both' | LinkDirection;

export type LinkStandIn = {
	port: number;
	/** `IP:port` of this end. */
	address: string;
	url: string;
	/** Cuts the link. Bytes sent during a cut are lost, so healing resets every connection that lost some. */
	cut: (cut?: LinkCut) => void;
	heal: () => void;
	/** Resets connections that lost bytes in a cut that has ended. */
	refresh: () => void;
	/** Resets every open connection. */
	reset: () => void;
	/** Sets the delay of each chunk in either direction, in milliseconds. */
	setDelay: (delayMs: number) => void;
	/** Points new connections to another address. */
	setTarget: (target: string) => void;
	countConnections: () => number;
	bytes: () => {toTarget: number; fromTarget: number};
	stop: () => Promise<void>;
};

type Pair = {near: Socket; far: Socket; source: string; hasLost: boolean};

const toAddress = (target: string): {host: string; port: number} => {
	const [host, port] = target.replace(/^https?:\/\//, '').replace(/\/$/, '').split(':');
	return {host: host ?? '127.0.0.1', port: Number(port)};
};

/** Starts a relay on loopback. */
export const startLinkStandIn = async (options: LinkStandInOptions): Promise<LinkStandIn> => {
	const pairs = new Set<Pair>();
	const byteCounts = {toTarget: 0, fromTarget: 0};
	const state: {cut: LinkCut; delayMs: number; target: string} = {cut: 'none', delayMs: options.delayMs ?? 0, target: options.target};
	/** Connections accepted during a cut; the connecting side receives nothing on them. */
	const unansweredSockets = new Set<Socket>();

	const isCut = (source: string, direction: LinkDirection): boolean => state.cut === 'both' || state.cut === direction
		|| (options.isCutFor?.(source, direction) ?? false);

	const isAnyCut = (source: string): boolean => isCut(source, 'to-target') || isCut(source, 'from-target');

	const drop = (pair: Pair): void => {
		pairs.delete(pair);
		resetSocket(pair.near);
		resetSocket(pair.far);
	};

	const relay = (pair: Pair, from: Socket, to: Socket, direction: LinkDirection): void => {
		const pass = (action: () => void): void => {
			if (isCut(pair.source, direction)) {
				pair.hasLost = true;
				return;
			}

			action();
		};

		const deliver = (action: () => void): void => {
			if (state.delayMs === 0) {
				pass(action);
			} else {
				setTimeout(pass, state.delayMs, action);
			}
		};

		from.on('data', bytes => {
			byteCounts[direction === 'to-target' ? 'toTarget' : 'fromTarget'] += bytes.length;
			deliver(() => {
				if (!to.destroyed && !to.write(bytes)) {
					from.pause();
					to.once('drain', () => from.resume());
				}
			});
		});
		from.on('end', () => {
			deliver(() => to.end());
		});
		from.on('error', () => {
			deliver(() => {
				drop(pair);
			});
		});
		from.on('close', () => {
			deliver(() => {
				pairs.delete(pair);
				to.destroy();
			});
		});
	};

	const accept = (near: Socket): void => {
		near.on('error', () => undefined);
		const source = near.remoteAddress ?? '';
		if (isAnyCut(source)) {
			unansweredSockets.add(near);
			near.once('close', () => unansweredSockets.delete(near));
			near.resume();
			return;
		}

		const far = connect({...toAddress(state.target), allowHalfOpen: true});
		near.setNoDelay(true);
		far.setNoDelay(true);
		const pair: Pair = {
			near, far, source, hasLost: false,
		};
		pairs.add(pair);
		relay(pair, near, far, 'to-target');
		relay(pair, far, near, 'from-target');
	};

	const refresh = (): void => {
		for (const pair of pairs) {
			if (pair.hasLost && !isAnyCut(pair.source)) {
				drop(pair);
			}
		}

		for (const near of unansweredSockets) {
			if (!isAnyCut(near.remoteAddress ?? '')) {
				resetSocket(near);
			}
		}
	};

	const reset = (): void => {
		for (const pair of pairs) {
			drop(pair);
		}

		for (const near of unansweredSockets) {
			resetSocket(near);
		}
	};

	const server = createServer({allowHalfOpen: true}, accept);
	const bind = options.bind ?? '127.0.0.1';
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(options.port ?? 0, bind, resolve);
	});
	const {port} = server.address() as AddressInfo;
	return {
		port,
		address: `${bind}:${port}`,
		url: `http://${bind}:${port}`,
		cut(cut = 'both') {
			state.cut = cut;
		},
		heal() {
			state.cut = 'none';
			refresh();
		},
		refresh,
		reset,
		setDelay(delayMs) {
			state.delayMs = delayMs;
		},
		setTarget(target) {
			state.target = target;
		},
		countConnections: () => pairs.size,
		bytes: () => ({...byteCounts}),
		async stop() {
			const closed = new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
			reset();
			await closed;
		},
	};
};
