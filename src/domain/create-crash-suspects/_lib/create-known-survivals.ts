/** Survived runs of requests, and the software versions by which they are compared with crashes. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type Fingerprint, type ServerId, type SoftwareVersion} from '../../../ports/ids.js';
import {createLatestTimes} from '../../create-latest-times/index.js';

export type KnownSurvivals = {
	/** Keeps the software version of a server that ended, as its entry is removed soon after. */
	noteEnded: (server: ServerId) => void;
	/** Records that a run of the request, which its server survived, ended at this time. */
	note: (fingerprint: Fingerprint, server: ServerId, at: Milliseconds) => void;
	/** Whether a survived run at the server speaks against crashes of the others: not if all of these had another software version. */
	isComparable: (server: ServerId, ended: readonly ServerId[]) => boolean;
	/** Ends of the latest survived runs of a request that speak against crashes of these servers. */
	list: (fingerprint: Fingerprint, ended: readonly ServerId[]) => readonly Milliseconds[];
};

export type KnownSurvivalsOptions = {
	/** Returns the software version of a server that is published; `undefined` if it is unknown. */
	toVersion: (server: ServerId) => SoftwareVersion | undefined;
	/** Maximum number of servers whose version is kept after their end. */
	maxServers: number;
	/** Maximum number of requests, and of requests by software version, whose survived runs are kept. */
	maxRequests: number;
};

const toKey = (fingerprint: Fingerprint, version: SoftwareVersion): string => `${fingerprint} ${version}`;

/**
 * Creates the record of one host. It also has requests under which only other hosts
 * have seen crashes.
 *
 * @param options - See {@link KnownSurvivalsOptions}.
 * @returns See {@link KnownSurvivals}.
 */
export function createKnownSurvivals({toVersion, maxServers, maxRequests}: KnownSurvivalsOptions): KnownSurvivals {
	const survivedAt = createLatestTimes(maxRequests);
	const versions = new Map<ServerId, SoftwareVersion>();

	/** Returns the versions of servers that ended; `undefined` if one of them is unknown. */
	function listVersions(ended: readonly ServerId[]): readonly SoftwareVersion[] | undefined {
		const known = ended.flatMap(server => versions.get(server) ?? []);
		return known.length === ended.length ? known : undefined;
	}

	return {
		noteEnded(server) {
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
		note(fingerprint, server, at) {
			const version = toVersion(server);
			survivedAt.note(fingerprint, at);
			if (version !== undefined) {
				survivedAt.note(toKey(fingerprint, version), at);
			}
		},
		isComparable(server, ended) {
			const version = toVersion(server);
			return version === undefined || ended.length === 0 || (listVersions(ended)?.includes(version) ?? true);
		},
		list(fingerprint, ended) {
			const keys = listVersions(ended)?.map(version => toKey(fingerprint, version)) ?? [fingerprint];
			return [...new Set(keys)].map(key => survivedAt.get(key)).filter(at => Number.isFinite(at));
		},
	};
}
