import {type AcceptedConfig, type ServerEntry} from '../../../ports/config.js';
import {type ServerId} from '../../../ports/ids.js';
import {type FleetView} from '../../../ports/view.js';

/**
 * Knows the prefill and decode servers of a pool that can work together. A
 * cache never goes to other weights, so a pool whose prefill servers all have
 * the new version and whose decode servers all have the old one answers nobody,
 * although each role has copies that serve.
 *
 * @param view - What servers report.
 * @param accepted - The configuration in force.
 * @param isCopy - Whether a server serves as published.
 * @returns `isLast`: whether a pool has a pair without some servers, and none without one more.
 */
export const createPairs = (view: FleetView, accepted: AcceptedConfig, isCopy: (entry: ServerEntry) => boolean) => {
	const entries = new Map(accepted.config.servers.map(entry => [entry.id, entry]));
	const copies = accepted.config.servers.filter(entry => isCopy(entry));

	const hasPair = (pool: string, without: ReadonlySet<ServerId>): boolean => {
		const left = copies.filter(entry => entry.pool === pool && !without.has(entry.id));
		const toVersions = (role: ServerEntry['role']) => left.filter(entry => entry.role === role).map(({id}) => view.servers.get(id)?.load?.version);
		const decodes = new Set(toVersions('decode'));
		return toVersions('prefill').some(version => decodes.has(version));
	};

	return {
		isLast(server: ServerId, out: ReadonlySet<ServerId>): boolean {
			const pool = entries.get(server)?.pool;
			return pool !== undefined && hasPair(pool, out) && !hasPair(pool, new Set([...out, server]));
		},
	};
};
