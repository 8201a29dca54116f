/** Servers of one pool whose software versions change, and what hosts know of them. */
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type SoftwareVersion} from '../../../ports/ids.js';

export type VersionedServer = {id: number; softwareVersion: SoftwareVersion};

type Snapshot = {at: Milliseconds; servers: readonly VersionedServer[]};

export type VersionedServers = {
	/** Servers that were published at some time. */
	publishedAt: (at: Milliseconds) => readonly VersionedServer[];
	/** Versions of the servers that were published at any moment since a time. */
	versionsSince: (at: Milliseconds) => ReadonlySet<SoftwareVersion>;
	/** Whether a server runs; one that is replaced runs on for a while after it is published no more. */
	isRunning: (id: number) => boolean;
	/** Number of published servers of a version. */
	countOf: (softwareVersion: SoftwareVersion) => number;
	/** Replaces servers of other versions, one after the other, until a share of all is of this version. */
	release: (softwareVersion: SoftwareVersion, share: number) => void;
	/** Loses some servers at once; each comes back as a new server of its version. */
	crash: (share: number) => void;
	/** Does what is due. */
	tick: (now: Milliseconds) => void;
};

/** Time between two servers that a release replaces, and time after which a crashed server is back. */
const replaceEveryMs: Milliseconds = 400;
const backAfterMs: Milliseconds = 3000;
/** Time for which a replaced server runs on. */
const lingerMs: Milliseconds = 5000;

/**
 * Creates servers of one version.
 *
 * @param count - Number of servers.
 * @param random - Picks the servers that are replaced or lost.
 * @returns See {@link VersionedServers}.
 */
export function createVersionedServers(count: number, random: Random): VersionedServers {
	let lastId = count;
	let servers: readonly VersionedServer[] = Array.from({length: count}, (_, id) => ({id, softwareVersion: 'v1'}));
	const running = new Set(servers.map(({id}) => id));
	const ending: Array<{at: Milliseconds; id: number}> = [];
	const history: Snapshot[] = [{at: -Infinity, servers}];
	const comingBack: Array<{at: Milliseconds; softwareVersion: SoftwareVersion}> = [];
	let rollout: {softwareVersion: SoftwareVersion; left: number; nextAt: Milliseconds} | undefined;
	let crashShare = 0;

	const pickOne = (candidates: readonly VersionedServer[]): VersionedServer | undefined => candidates[Math.floor(random() * candidates.length)];

	const toNew = (softwareVersion: SoftwareVersion): VersionedServer => ({id: ++lastId, softwareVersion});

	function replaceDue(now: Milliseconds): void {
		if (rollout === undefined || rollout.left === 0 || now < rollout.nextAt) {
			return;
		}

		const {softwareVersion} = rollout;
		// A large pool is replaced in steps of several servers, so that a release takes about as long.
		const step = Math.max(1, Math.round(count / 10));
		for (let i = 0; i < step && rollout.left > 0; i++) {
			const old = pickOne(servers.filter(server => server.softwareVersion !== softwareVersion));
			rollout.left--;
			servers = [...servers.filter(server => server !== old), toNew(softwareVersion)];
			ending.push(...(old === undefined ? [] : [{at: now + lingerMs, id: old.id}]));
		}

		rollout.nextAt = now + replaceEveryMs;
	}

	function crashDue(now: Milliseconds): void {
		const lost = servers.filter(() => random() < crashShare);
		crashShare = 0;
		servers = servers.filter(server => !lost.includes(server));
		ending.unshift(...lost.map(({id}) => ({at: now, id})));
		comingBack.push(...lost.map(({softwareVersion}) => ({at: now + backAfterMs, softwareVersion})));
	}

	function startDue(now: Milliseconds): void {
		while (comingBack[0] !== undefined && comingBack[0].at <= now) {
			servers = [...servers, toNew(comingBack.shift()!.softwareVersion)];
		}
	}

	function endDue(now: Milliseconds): void {
		while (ending[0] !== undefined && ending[0].at <= now) {
			running.delete(ending.shift()!.id);
		}
	}

	return {
		publishedAt: at => history.findLast(snapshot => snapshot.at <= at)!.servers,
		versionsSince(at) {
			const first = history.findLastIndex(snapshot => snapshot.at <= at);
			return new Set(history.slice(Math.max(0, first)).flatMap(snapshot => snapshot.servers.map(({softwareVersion}) => softwareVersion)));
		},
		isRunning: id => running.has(id),
		countOf: softwareVersion => servers.filter(server => server.softwareVersion === softwareVersion).length,
		release(softwareVersion, share) {
			rollout = {softwareVersion, left: Math.round(count * share), nextAt: -Infinity};
		},
		crash(share) {
			crashShare = share;
		},
		tick(now) {
			const before = servers;
			replaceDue(now);
			crashDue(now);
			startDue(now);
			endDue(now);
			if (servers !== before) {
				history.push({at: now, servers});
				for (const {id} of servers) {
					running.add(id);
				}
			}
		},
	};
}
