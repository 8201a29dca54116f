import {type ServerEntry} from '../../ports/config.js';
import {type Engine} from '../../ports/engine.js';
import {type ServerId} from '../../ports/ids.js';

/** An engine client that owns connections; `close` closes them. */
export type EngineClient = Engine & {close: () => Promise<void>};

export type Engines = {
	/** Returns the client of a server; creates a new one when the server is unknown or its URL changed. */
	toEngine: (server: ServerEntry) => Engine;
	findEngine: (server: ServerId) => Engine | undefined;
	/** Closes the clients of servers that are no longer in the configuration. */
	keepOnly: (servers: ReadonlySet<ServerId>) => void;
	close: () => Promise<void>;
};

/**
 * Creates a cache with one engine client per server, so that connections are reused.
 *
 * @param create - Creates the client of a server.
 * @returns The cache.
 */
export function createEngines(create: (server: ServerEntry) => EngineClient): Engines {
	const clients = new Map<ServerId, {url: string; client: EngineClient}>();

	function drop(server: ServerId): void {
		const known = clients.get(server);
		clients.delete(server);
		// Closing waits for the calls that still use the connections.
		void known?.client.close();
	}

	return {
		toEngine(server) {
			const known = clients.get(server.id);
			if (known?.url === server.url) {
				return known.client;
			}

			drop(server.id);
			const client = create(server);
			clients.set(server.id, {url: server.url, client});
			return client;
		},
		findEngine: server => clients.get(server)?.client,
		keepOnly(servers) {
			for (const server of clients.keys()) {
				if (!servers.has(server)) {
					drop(server);
				}
			}
		},
		async close() {
			await Promise.all(Array.from(clients.values(), async ({client}) => client.close()));
			clients.clear();
		},
	};
}
