/** Connections to plain services. */
import {type Agent, type Dispatcher} from 'undici';
import {createHttpAgent} from '../../../adapters/_lib/create-http-agent/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type ServerId} from '../../../ports/ids.js';

export type PlainClients = {
	toDispatcher: (server: Pick<ServerEntry, 'id'>) => Dispatcher;
	/** Creates a connection for a single call. */
	createConnection: () => Pick<Dispatcher, 'dispatch'>;
	keepOnly: (servers: ReadonlySet<ServerId>) => void;
	close: () => Promise<void>;
};

const connectionsPerServer = 512;

/**
 * Creates the HTTP clients of plain services, one connection pool for each server.
 *
 * @param options - Timeout of connecting and of idle connections, milliseconds.
 * @returns The clients.
 */
export function createPlainClients(options: {connectTimeoutMs: Milliseconds; idleMs?: Milliseconds}): PlainClients {
	const agents = new Map<ServerId, Agent>();
	return {
		toDispatcher(server) {
			const agent = agents.get(server.id) ?? createHttpAgent({connections: connectionsPerServer, ...options});
			agents.set(server.id, agent);
			return agent;
		},
		createConnection() {
			const agent = createHttpAgent({connections: 1, ...options});
			return {
				dispatch(call, handler) {
					const isFree = agent.dispatch(call, handler);
					// Waits for the call that has just been dispatched.
					void agent.close();
					return isFree;
				},
			};
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
