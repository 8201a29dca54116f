/** Several callers' ports that are stopped as one. */
import {type CallerServer} from '../../../../adapters/caller-http/index.js';

const toSum = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0);

/**
 * Joins servers into one.
 *
 * @param first - Server whose port the joined server names, and whose bounds it sets.
 * @param others - Further servers.
 * @returns The joined server: what it counts is the sum, what it does is done by all.
 */
export function joinCallerServers(first: CallerServer, others: readonly CallerServer[]): CallerServer {
	const all = [first, ...others];
	return {
		port: first.port,
		openExchanges: () => toSum(all.map(server => server.openExchanges())),
		unstarted: () => toSum(all.map(server => server.unstarted())),
		connections: () => toSum(all.map(server => server.connections())),
		setBounds: first.setBounds,
		renewTls: first.renewTls,
		startStopping() {
			for (const server of all) {
				server.startStopping();
			}
		},
		async close() {
			await Promise.all(all.map(async server => server.close()));
		},
		destroy() {
			for (const server of all) {
				server.destroy();
			}
		},
	};
}
