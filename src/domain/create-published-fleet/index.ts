/**
 * What one host knows of a platform that publishes servers one by one: rules
 * that never go back within the life of the process, and the servers in service.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type Config, type ZoneEntry} from '../../ports/config.js';
import {type ServerId} from '../../ports/ids.js';
import {
	type PublishedChange, type PublishedName, type PublishedRules, type PublishedServer,
} from '../../ports/published.js';
import {type FleetView, type ServerStatus} from '../../ports/view.js';
import {createResetHold} from './_lib/create-reset-hold.js';
import {type FleetChange, type PublishedFleet, type PublishedFleetOptions} from './_lib/types.js';
import {createLeavingNotices} from './_lib/create-leaving-notices.js';

export type * from './_lib/types.js';

const defaultLapseGraceMs = 2500;

/**
 * Silence of the platform after which entries of living servers may have lapsed.
 * They do three heartbeats after their server's last one, so an outage of two
 * is enough; heartbeats are a second or more apart. A shorter one is taken for
 * what it is: a server that left in it would get requests for seconds after it ended.
 */
const lapseAfterMs: Milliseconds = 2000;

/**
 * Longest time from the return of the platform for which a missing server may be
 * used. A host that was cut off alone looks the same to itself as one whose
 * platform was away, but there nothing lapsed, and what is missing has left; three
 * seconds after its cut it has to act on that, and a request is 0.2 s on its way
 * at most.
 */
const actLimitMs: Milliseconds = 2800;

type Known = PublishedServer & {
	/** It was missing when an outage had ended. */
	isMissing?: boolean;
};

/** Pools and rules before any were published. */
const noRules: Pick<PublishedRules, 'pools' | 'rules'> = {pools: [], rules: []};

/** Stands for the rules where servers stand by their names; no server has an empty one. */
const rulesName: PublishedName = '';

/** The server that an entry of a list names, whether it can be read or not. */
function toListed(change: PublishedChange): PublishedName | undefined {
	if (change.kind === 'server') {
		return change.server.name;
	}

	return change.kind === 'unreadable-server' ? change.name : undefined;
}

function isSameServer(a: PublishedServer, b: PublishedServer): boolean {
	return a.leaving === b.leaving && JSON.stringify(a.entry) === JSON.stringify(b.entry);
}

/**
 * Creates the knowledge of a host that just started: nothing.
 *
 * @param options - Zones, and how long missing servers count as present after an outage.
 * @returns Functions that take reads and give the view; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const fleet = createPublishedFleet({zones: [{id: 'dvorana-a', region: 'si-central'}]});
 * fleet.apply([{kind: 'server', server}], 10);
 * fleet.toView(10).servers.size; // => 1
 * ```
 */
export function createPublishedFleet(options: PublishedFleetOptions): PublishedFleet {
	const {zones, lapseGraceMs = defaultLapseGraceMs} = options;
	const servers = new Map<PublishedName, Known>();
	/** Entries that can't be read now, with the reason that was told. */
	const unreadable = new Map<PublishedName, string>();
	const leavingNotices = createLeavingNotices();
	const resetHold = createResetHold();
	let rules: PublishedRules | undefined;
	let config: Config | undefined;
	/** Counts changes of the servers, so that decisions see that their index is old. */
	let generation = 0;
	/** Until when missing entries may have lapsed in the last outage of the platform. */
	let graceUntil = -Infinity;
	let confirmedAt: Milliseconds | undefined;

	function changed(): void {
		generation++;
		config = undefined;
	}

	/**
	 * A server that starts again under its name holds nothing of before. Each start
	 * has an id of its own, so all that is believed of the former one ends here:
	 * taken for the same, it would be sent answers to go on with that it doesn't
	 * have, and doubted for what its former life did.
	 */
	function takeServer(published: PublishedServer): FleetChange['servers'] {
		const {name, entry, startedAt} = published;
		const leaving = published.leaving || leavingNotices.has(entry.id);
		const server = {...published, leaving};
		const known = servers.get(name);
		// A heartbeat of the former start that arrives late says nothing of the present one.
		if (known !== undefined && startedAt < known.startedAt) {
			return [];
		}

		unreadable.delete(name);
		if (known !== undefined && isSameServer(known, server)) {
			servers.set(name, server);
			return [];
		}

		const ended = known !== undefined && known.entry.id !== entry.id ? removeServer(known) : [];
		servers.set(name, server);
		changed();
		return [...ended, {id: entry.id, became: leaving ? 'leaving' : 'serving'}];
	}

	/**
	 * An entry as the platform lists it right after it came back from an older copy.
	 * What is known of the same start is newer, and a start that was gone is not back:
	 * by the copy alone, a server that left would get requests until it has written
	 * again. That one leaves is never older than that it serves.
	 */
	function takeListed(published: PublishedServer, now: Milliseconds): FleetChange['servers'] {
		const {name, entry} = published;
		const isKnown = servers.get(name)?.entry.id === entry.id;
		const isOlder = resetHold.isOn(now) && (isKnown || resetHold.wasGone(entry.id));
		if (!isOlder) {
			return takeServer(published);
		}

		const known = servers.get(name);
		return known === undefined
			? []
			: takeServer({
				name, startedAt: known.startedAt, entry: known.entry, leaving: known.leaving || published.leaving,
			});
	}

	/** An entry that was written after the platform came back; a server that left may write that it is ready before it writes that it leaves. */
	function takeWritten(published: PublishedServer, now: Milliseconds): FleetChange['servers'] {
		const known = servers.get(published.name);
		if (!resetHold.isOn(now)) {
			return takeServer(published);
		}

		if (resetHold.wasGone(published.entry.id)) {
			return [];
		}

		const hasLeft = known?.leaving === true && known.entry.id === published.entry.id;
		return takeServer(hasLeft ? {...published, leaving: true} : published);
	}

	function removeServer({name, entry}: PublishedServer): FleetChange['servers'] {
		servers.delete(name);
		resetHold.noteGone(entry.id);
		changed();
		return [{id: entry.id, became: 'gone'}];
	}

	function dropServer(name: PublishedName, now: Milliseconds): FleetChange['servers'] {
		unreadable.delete(name);
		const known = servers.get(name);
		if (known === undefined) {
			return [];
		}

		// Right after an outage a missing entry may have lapsed for want of a platform to write to:
		// believed at once, a whole pool would be empty for two seconds while its servers serve.
		if (now < graceUntil && !known.leaving) {
			servers.set(name, {...known, isMissing: true});
			return known.isMissing === true ? [] : [{id: known.entry.id, became: 'missing'}];
		}

		return removeServer(known);
	}

	const listMissing = (): PublishedName[] => [...servers].filter(([, {isMissing}]) => isMissing === true).map(([name]) => name);

	/** Told once for each reason: an entry that stays as it is may be read anew each second. */
	function takeUnreadable(what: 'rules' | 'server', name: PublishedName, reason: string): FleetChange['unreadable'] {
		if (unreadable.get(name) === reason) {
			return [];
		}

		unreadable.set(name, reason);
		return [{what, name, reason}];
	}

	/** An entry that can't be read names no server, also where it stands in the place of one that could. */
	function takeUnreadableServer(name: PublishedName): FleetChange['servers'] {
		const known = servers.get(name);
		return known === undefined ? [] : removeServer(known);
	}

	function takeRules(next: PublishedRules): PublishedRules | undefined {
		// An older answer that arrives late, or comes from a copy that lags, must not undo a newer one.
		if (rules !== undefined && next.version <= rules.version) {
			return undefined;
		}

		rules = next;
		changed();
		return next;
	}

	/**
	 * Finds whether the platform was away before this read. The grace is counted
	 * from the last attempt that failed, as the platform may have been back since
	 * then: counted from the first read that succeeds, a host that tried late kept
	 * sending to a server that had left. Without a failed attempt it was this process
	 * that stood still, or one connection that went silent, while servers went on
	 * writing. An outage of any length interrupts a grace, also one that ended in it, as
	 * no read has told yet who stayed away; it begins anew.
	 */
	function noteRead(now: Milliseconds, failedAttemptAt: Milliseconds | undefined): void {
		const isInterrupted = now < graceUntil || listMissing().length > 0;
		const isLong = confirmedAt !== undefined && now - confirmedAt >= lapseAfterMs;
		if ((isInterrupted || isLong) && failedAttemptAt !== undefined) {
			graceUntil = Math.max(graceUntil, Math.min(now + lapseGraceMs, failedAttemptAt + actLimitMs));
			// An outage in that time puts off what is to be written again.
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

			const listed = new Set(changes.map(change => toListed(change)));
			const gone = [...servers.keys(), ...unreadable.keys()]
				.filter(name => name !== rulesName && !listed.has(name))
				.map((name): PublishedChange => ({kind: 'server-gone', name}));
			return take([...changes, ...gone], now, takeListed);
		},
		noteLeaving(server) {
			leavingNotices.add(server);
			const known = [...servers.values()].find(({entry}) => entry.id === server);
			return {rules: undefined, servers: known === undefined ? [] : takeServer(known), unreadable: []};
		},
		sweep(now) {
			const overdue = now < graceUntil ? [] : listMissing().flatMap(name => dropServer(name, now));
			return {rules: undefined, servers: overdue, unreadable: []};
		},
		noteReset({latestActAt: latest}, now) {
			graceUntil = Math.max(graceUntil, Math.min(now + lapseGraceMs, latest));
			// To leave a server alone for longer than need be is safe, to use it is not.
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
