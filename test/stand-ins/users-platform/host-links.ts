/** Links of one host to servers, which can be cut for this host alone. */
import {startLinkStandIn, type LinkStandIn} from '../link/index.js';

export type HostLinks = {
	/** Returns the address at which the host reaches a server; servers without a link are reached directly. */
	toAddress: (server: string) => string;
	/** Resets all connections and refuses new ones. */
	cut: () => Promise<void>;
	/** Accepts connections again, at the same addresses. */
	heal: () => Promise<void>;
	stop: () => Promise<void>;
};

/**
 * Starts the links.
 *
 * @param servers - `IP:port` of each server.
 * @returns The links, all of them open.
 */
export async function startHostLinks(servers: readonly string[]): Promise<HostLinks> {
	const links = new Map<string, LinkStandIn>();
	const ports = new Map<string, number>();
	const heal = async () => {
		await Promise.all(servers.filter(server => !links.has(server)).map(async server => {
			const port = ports.get(server);
			const link = await startLinkStandIn({target: server, ...(port !== undefined && {port})});
			links.set(server, link);
			ports.set(server, link.port);
		}));
	};

	const cut = async () => {
		const open = [...links.values()];
		links.clear();
		await Promise.all(open.map(async link => link.stop()));
	};

	await heal();
	return {
		toAddress(server) {
			const port = ports.get(server);
			return port === undefined ? server : `127.0.0.1:${port}`;
		},
		cut,
		heal,
		stop: cut,
	};
}
