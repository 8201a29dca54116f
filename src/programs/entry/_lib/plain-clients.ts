/** Connections to plain services. */
import {Agent, type Dispatcher} from 'undici';
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type ServerId} from '../../../ports/ids.js';

export type PlainClients = {
	toDispatcher: (server: ServerEntry) => Dispatcher;
	keepOnly: (servers: ReadonlySet<ServerId>) => void;
	close: () => Promise<void>;
};

const connectionsPerServer = 512;

/**
 * Keeps one pool of connections for each plain service.
 *
 * @param options - Time to connect.
 * @returns The pools.
 */
export function createPlainClients(options: {connectTimeoutMs: Milliseconds}): PlainClients {
	const pools = new Map<ServerId, Agent>();
	return {
		toDispatcher(server) {
			const known = pools.get(server.id) ?? new Agent({connect: {timeout: options.connectTimeoutMs}, connections: connectionsPerServer, pipelining: 1});
			pools.set(server.id, known);
			return known;
		},
		keepOnly(servers) {
			for (const [server, pool] of pools) {
				if (!servers.has(server)) {
					pools.delete(server);
					void pool.close();
				}
			}
		},
		async close() {
			await Promise.all(Array.from(pools.values(), async pool => pool.close()));
		},
	};
}
