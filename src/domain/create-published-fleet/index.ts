/**
 * The rules and servers that a platform publishes one by one, as one host knows
 * them. Rules never go back to an older version within the life of the process.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type Config, type ServerEntry, type ZoneEntry} from '../../ports/config.js';
import {type ServerId} from '../../ports/ids.js';
import {
	type PublishedChange, type PublishedName, type PublishedRules, type PublishedServer,
} from '../../ports/published.js';
import {type FleetView, type ServerStatus} from '../../ports/view.js';
import {createWriteOrder} from './_lib/create-write-order.js';
import {createResetHold} from './_lib/create-reset-hold.js';
import {type FleetChange, type PublishedFleet, type PublishedFleetOptions} from './_lib/types.js';
import {createLeavingNotices} from './_lib/create-leaving-notices.js';

export type * from './_lib/types.js';

const defaultLapseGraceMs = 2500;

/**
 * Silence of the platform after which entries of live servers may have expired.
 * Entries expire three heartbeats after their server's last one, so an outage of two
 * heartbeats is enough; heartbeats are a second or more apart. After a shorter outage
 * a missing server counts as gone: kept, a server that left during the outage would
 * get requests for seconds after it ended.
 */
const lapseAfterMs: Milliseconds = 2000;

/**
 * Maximum time from the return of the platform for which a missing server may be
 * used. A host that was cut off alone can't tell that from an outage of the platform,
 * but then no entries expired, and missing servers have left. Such a host must act on
 * that within three seconds after the cut, and a request is in flight for 0.2 s at most.
 */
const actLimitMs: Milliseconds = 2800;

type Known = PublishedServer & {
	/** Whether its entry was missing after an outage. */
	isMissing?: boolean;
};

/** Pools and rules before any were published. */
const noRules: Pick<PublishedRules, 'pools' | 'rules'> = {pools: [], rules: []};

/** Key of the rules among server names; no server has an empty name. */
const rulesName: PublishedName = '';

/** Returns the name of the server that an entry of a list is for, whether the entry can be read or not. */
function toListedName(change: PublishedChange): PublishedName | undefined {
	if (change.kind === 'server') {
		return change.server.name;
	}

	return change.kind === 'unreadable-server' ? change.name : undefined;
}

function toPublished({name, startedAt, sequence, entry, leaving}: Known): PublishedServer {
	return {
		name, startedAt, entry, leaving, ...(sequence !== undefined && {sequence}),
	};
}

const toNamed = ({id, softwareVersion}: ServerEntry): Omit<FleetChange['servers'][number], 'became'> => ({id, ...(softwareVersion !== undefined && {softwareVersion})});

function isSameServer(a: PublishedServer, b: PublishedServer): boolean {
	return a.leaving === b.leaving && JSON.stringify(a.entry) === JSON.stringify(b.entry);
}

/**
 * Creates the published fleet of a host that just started, which has read nothing yet.
 *
 * @param options - Zones, and how long missing servers count as present after an outage.
 * @returns Functions that apply reads and return the view; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const fleet = createPublishedFleet({zones: [{id: 'dvorana-a', region: 'si-central'}]});
 * fleet.apply([{kind: 'server', server}], 10);
 * fleet.toView(10).servers.size; // => 1
 * ```
 */
export function createPublishedFleet(options: PublishedFleetOptions): PublishedFleet {
	const {zones, lapseGraceMs = defaultLapseGraceMs, onKeptBack = () => undefined} = options;
	const servers = new Map<PublishedName, Known>();
	/** Entries that can't be read now, with the reason that was reported. */
	const unreadable = new Map<PublishedName, string>();
	const leavingNotices = createLeavingNotices();
	const resetHold = createResetHold();
	const writeOrder = createWriteOrder();
	let rules: PublishedRules | undefined;
	let config: Config | undefined;
	/** Number of changes of rules and servers, so that decisions detect that their index is stale. */
	let generation = 0;
	/** Time until which missing entries may be due to the last outage of the platform. */
	let graceUntil = -Infinity;
	let confirmedAt: Milliseconds | undefined;

	function changed(): void {
		generation++;
		config = undefined;
	}

	/**
	 * Applies an entry of a server. A server that restarts under its name has lost its
	 * state. Each start has an id of its own, so the former start is removed here:
	 * treated as the same server, the new start would be asked to resume streams that
	 * it doesn't have, and would be penalised for failures of the former start.
	 */
	function takeServer(published: PublishedServer, now: Milliseconds): FleetChange['servers'] {
		const {name, entry, startedAt} = published;
		const leaving = published.leaving || leavingNotices.has(entry.id);
		const server = {...published, leaving};
		const known = servers.get(name);
		// A heartbeat of a former start that arrives late is ignored.
		if (known !== undefined && startedAt < known.startedAt) {
			return [];
		}

		unreadable.delete(name);
		if (writeOrder.isOvertaken(published, now)) {
			onKeptBack(published);
			return [];
		}

		writeOrder.noteTaken(published, now);
		if (known !== undefined && isSameServer(known, server)) {
			servers.set(name, server);
			return [];
		}

		const ended = known !== undefined && known.entry.id !== entry.id ? removeServer(known) : [];
		servers.set(name, server);
		changed();
		return [...ended, {...toNamed(entry), became: leaving ? 'leaving' : 'serving'}];
	}

	/**
	 * Applies an entry of a full list. While the platform's list comes from an older
	 * copy, the known state of the same start takes precedence, and a start that was
	 * gone stays gone: otherwise a server that left would get requests until it has
	 * written its entry again. An entry that says that a server leaves is always
	 * applied, as servers never stop leaving.
	 */
	function takeListed(published: PublishedServer, now: Milliseconds): FleetChange['servers'] {
		const {name, entry} = published;
		const isKnown = servers.get(name)?.entry.id === entry.id;
		const isOlder = resetHold.isOn(now) && (isKnown || resetHold.wasGone(entry.id));
		if (!isOlder) {
			return takeServer(published, now);
		}

		const known = servers.get(name);
		return known === undefined
			? []
			: takeServer({...toPublished(known), leaving: known.leaving || published.leaving}, now);
	}

	/** Applies an entry that was written after the restore. A leaving server may write its entry as ready before it writes it as leaving, so leaving and gone servers stay so during the hold. */
	function takeWritten(published: PublishedServer, now: Milliseconds): FleetChange['servers'] {
		const known = servers.get(published.name);
		if (!resetHold.isOn(now)) {
			return takeServer(published, now);
		}

		if (resetHold.wasGone(published.entry.id)) {
			return [];
		}

		const hasLeft = known?.leaving === true && known.entry.id === published.entry.id;
		return takeServer(hasLeft ? {...published, leaving: true} : published, now);
	}

	function removeServer({name, entry}: PublishedServer): FleetChange['servers'] {
		servers.delete(name);
		writeOrder.noteGone(entry.id);
		resetHold.noteGone(entry.id);
		changed();
		return [{...toNamed(entry), became: 'gone'}];
	}

	function dropServer(name: PublishedName, now: Milliseconds): FleetChange['servers'] {
		unreadable.delete(name);
		writeOrder.dropKeptBack(name);
		const known = servers.get(name);
		if (known === undefined) {
			return [];
		}

		// Right after an outage a missing entry may have expired because its server could not write it.
		// If such servers were dropped at once, a whole pool would be empty for two seconds while its servers serve.
		if (now < graceUntil && !known.leaving) {
			servers.set(name, {...known, isMissing: true});
			return known.isMissing === true ? [] : [{...toNamed(known.entry), became: 'missing'}];
		}

		return removeServer(known);
	}

	function markLeaving(known: Known): FleetChange['servers'] {
		if (known.leaving) {
			return [];
		}

		servers.set(known.name, {...known, leaving: true});
		changed();
		return [{...toNamed(known.entry), became: 'leaving'}];
	}

	const listMissing = (): PublishedName[] => [...servers].filter(([, {isMissing}]) => isMissing === true).map(([name]) => name);

	/** Reports an unreadable entry once for each reason: an unchanged entry may be read again each second. */
	function takeUnreadable(what: 'rules' | 'server', name: PublishedName, reason: string): FleetChange['unreadable'] {
		if (unreadable.get(name) === reason) {
			return [];
		}

		unreadable.set(name, reason);
		return [{what, name, reason}];
	}

	/** Removes the server of an entry that can't be read, also if the entry could be read before. */
	function takeUnreadableServer(name: PublishedName): FleetChange['servers'] {
		writeOrder.dropKeptBack(name);
		const known = servers.get(name);
		return known === undefined ? [] : removeServer(known);
	}

	function takeRules(next: PublishedRules): PublishedRules | undefined {
		// An older answer that arrives late, or comes from a stale replica, must not undo a newer one.
		if (rules !== undefined && next.version <= rules.version) {
			return undefined;
		}

		rules = next;
		changed();
		return next;
	}

	/**
	 * Starts the grace period if the platform was down before this read. The limit is
	 * counted from the last attempt that failed, as the platform may have been back since
	 * then: counted from the first read that succeeds, a host that retried late would keep
	 * sending to a server that had left. Without a failed attempt the platform was not down:
	 * this process was paused, or one connection went silent, while servers went on writing.
	 * An outage of any length during a grace period restarts it, also if the period expired
	 * during the outage, as no read has shown yet which servers are still missing.
	 */
	function noteRead(now: Milliseconds, failedAttemptAt: Milliseconds | undefined): void {
		const isInterrupted = now < graceUntil || listMissing().length > 0;
		const isLong = confirmedAt !== undefined && now - confirmedAt >= lapseAfterMs;
		if ((isInterrupted || isLong) && failedAttemptAt !== undefined) {
			graceUntil = Math.max(graceUntil, Math.min(now + lapseGraceMs, failedAttemptAt + actLimitMs));
			// An outage during the hold delays the entries that servers have to write again.
			if (resetHold.isOn(now)) {
				resetHold.begin(now + lapseGraceMs);
			}
		}

		confirmedAt = now;
	}

	function take(changes: readonly PublishedChange[], now: Milliseconds, takeEntry: typeof takeListed): FleetChange {
		let newRules: PublishedRules | undefined;
		const serverChanges: Array<FleetChange['servers'][number]> = [];
		const newUnreadable: Array<FleetChange['unreadable'][number]> = [];
		for (const change of changes) {
			switch (change.kind) {
				case 'rules': {
					unreadable.delete(rulesName);
					newRules = takeRules(change.rules) ?? newRules;
					break;
				}

				case 'server': {
					serverChanges.push(...takeEntry(change.server, now));
					break;
				}

				case 'server-gone': {
					serverChanges.push(...dropServer(change.name, now));
					break;
				}

				case 'unreadable-rules': {
					newUnreadable.push(...takeUnreadable('rules', rulesName, change.reason));
					break;
				}

				case 'unreadable-server': {
					newUnreadable.push(...takeUnreadable('server', change.name, change.reason));
					serverChanges.push(...takeUnreadableServer(change.name));
					break;
				}
			}
		}

		return {rules: newRules, servers: serverChanges, unreadable: newUnreadable};
	}

	function toConfig(): Config {
		config ??= {
			zones,
			hosts: [],
			servers: [...servers.values()].map(({entry}) => entry),
			pools: (rules ?? noRules).pools,
			rules: (rules ?? noRules).rules,
			callerTokens: {},
			...rules?.workspaces,
			...(rules?.callers && {callers: rules.callers}),
			weightStoreBytesPerSecond: 0,
		};
		return config;
	}

	function toStatus({entry, leaving}: Known): ServerStatus {
		return {
			id: entry.id, leaving, load: undefined, loadAt: -Infinity, reachable: undefined,
		};
	}

	return {
		apply(changes, now, {failedAttemptAt} = {}) {
			noteRead(now, failedAttemptAt);
			return take(changes, now, takeWritten);
		},
		replace(changes, now, {failedAttemptAt} = {}) {
			noteRead(now, failedAttemptAt);
			if (!resetHold.isOn(now)) {
				resetHold.end();
			}

			const listed = new Set(changes.map(change => toListedName(change)));
			const gone = [...servers.keys(), ...unreadable.keys(), ...writeOrder.keptBack()]
				.filter(name => name !== rulesName && !listed.has(name))
				.map((name): PublishedChange => ({kind: 'server-gone', name}));
			return take([...changes, ...gone], now, takeListed);
		},
		noteLeaving(server) {
			leavingNotices.add(server);
			const known = [...servers.values()].find(({entry}) => entry.id === server);
			return {rules: undefined, servers: known === undefined ? [] : markLeaving(known), unreadable: []};
		},
		sweep(now) {
			const overdue = now < graceUntil ? [] : listMissing().flatMap(name => dropServer(name, now));
			const due = writeOrder.takeDue(now).flatMap(server => takeWritten(server, now));
			return {rules: undefined, servers: [...overdue, ...due], unreadable: []};
		},
		noteReset({latestActAt}, now) {
			graceUntil = Math.max(graceUntil, Math.min(now + lapseGraceMs, latestActAt));
			// The hold is not limited by `latestActAt`: not using a server for longer than necessary is safe, using one that left is not.
			resetHold.begin(now + lapseGraceMs);
		},
		fullReadAt: resetHold.until,
		countDifferences(changes) {
			const listed = changes.filter(change => change.kind === 'server').map(({server}) => server);
			const isKnown = (server: PublishedServer): boolean => {
				const known = servers.get(server.name);
				return known !== undefined && isSameServer(known, server);
			};

			const names = new Set(listed.map(({name}) => name));
			return listed.filter(server => !isKnown(server)).length + [...servers.keys()].filter(name => !names.has(name)).length;
		},
		missingUntil: () => listMissing().length === 0 ? undefined : graceUntil,
		toView: now => ({
			accepted: rules === undefined
				? undefined
				: {version: {edition: rules.version, revision: generation, digest: ''}, config: toConfig(), text: ''},
			hosts: new Map(),
			servers: new Map([...servers.values()].map(known => [known.entry.id, toStatus(known)])),
			platformConfirmedAt: confirmedAt,
			receivedAt: now,
		}),
	};
}
