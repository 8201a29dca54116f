import {type ServerId, type SoftwareVersion} from '../../../ports/ids.js';

export type EndedVersions = {
	/** Keeps the software version of a server that ended, as its entry is removed soon after. */
	note: (server: ServerId) => void;
	/** Whether any of the servers that ended may have had this version; also if there is none. */
	isAmong: (version: SoftwareVersion | undefined, servers: readonly ServerId[]) => boolean;
	/** The versions of servers that ended; `undefined` if one of them is unknown. */
	list: (servers: readonly ServerId[]) => readonly SoftwareVersion[] | undefined;
};

/**
 * Creates a record of the software versions of servers that ended.
 *
 * @param toVersion - Returns the version of a server; `undefined` if it is unknown.
 * @param maxServers - Number of servers that are kept.
 * @returns See {@link EndedVersions}.
 */
export function createEndedVersions(toVersion: (server: ServerId) => SoftwareVersion | undefined, maxServers: number): EndedVersions {
	const versions = new Map<ServerId, SoftwareVersion>();

	function list(servers: readonly ServerId[]): readonly SoftwareVersion[] | undefined {
		const known = servers.flatMap(server => versions.get(server) ?? []);
		return known.length === servers.length ? known : undefined;
	}

	return {
		note(server) {
			const version = versions.get(server) ?? toVersion(server);
			if (version === undefined) {
				return;
			}

			versions.delete(server);
			versions.set(server, version);
			if (versions.size > maxServers) {
				const [oldest] = versions.keys();
				versions.delete(oldest!);
			}
		},
		isAmong: (version, servers) => version === undefined || servers.length === 0 || (list(servers)?.includes(version) ?? true),
		list,
	};
}
