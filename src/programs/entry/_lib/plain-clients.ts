/** Connections to plain services. */
import {type Agent, type Dispatcher} from 'undici';
import {createHttpAgent} from '../../../adapters/_lib/create-http-agent/index.js';
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
export function createPlainClients(options: {connectTimeoutMs: Milliseconds; idleMs?: Milliseconds}): PlainClients {
	const agents = new Map<ServerId, Agent>();
	return {
		toDispatcher(server) {
			const agent = agents.get(server.id) ?? createHttpAgent({connections: connectionsPerServer, ...options});
			agents.set(server.id, agent);
			return agent;
		},
		keepOnly(servers) {
			for (const [server, pool] of agents) {
				if (!servers.has(server)) {
					agents.delete(server);
					void pool.close();
				}
			}
		},
		async close() {
			await Promise.all(Array.from(agents.values(), async pool => pool.close()));
		},
	};
}
