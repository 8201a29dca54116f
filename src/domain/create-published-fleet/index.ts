/**
 * What one host knows of a platform that publishes servers one by one: rules
 * that never go back within the life of the process, and the servers in service.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type Config, type ZoneEntry} from '../../ports/config.js';
import {type ServerId} from '../../ports/ids.js';
import {type PublishedChange, type PublishedRules, type PublishedServer} from '../../ports/published.js';
import {type FleetView, type ServerStatus} from '../../ports/view.js';

export type PublishedFleetOptions = {
	/** Zones with their regions, from the host's own settings. */
	zones: readonly ZoneEntry[];
	/**
	 * Time after an outage of the platform in which a server that is missing there
	 * counts as present, milliseconds. Entries lapse while the platform can't be
	 * written to, and living servers need about two seconds to come back.
	 */
	lapseGraceMs?: Milliseconds;
};

const defaultLapseGraceMs = 2500;

/**
 * Silence of the platform after which entries of living servers may have lapsed:
 * they do after three heartbeats. A read that fails by itself is no outage; taken
 * for one, a server that left would get requests for seconds after it ended.
 */
const lapseAfterMs: Milliseconds = 3000;

export type FleetChange = {
	/** Rules that came into force with this read. */
	rules: PublishedRules | undefined;
	/** Servers that came, left, or said that they are leaving. */
	servers: ReadonlyArray<{id: ServerId; became: 'serving' | 'leaving' | 'gone'}>;
	/** Entries that could not be read. */
	unreadable: ReadonlyArray<{key: string; reason: string}>;
};

export type PublishedFleet = {
	/** Takes a whole list: what it does not name is gone. */
	replace: (changes: readonly PublishedChange[], now: Milliseconds) => FleetChange;
	/** Takes what changed since the last read. */
	apply: (changes: readonly PublishedChange[], now: Milliseconds) => FleetChange;
	/** Ends the grace of servers that stayed away; `true` when the view changed. */
	sweep: (now: Milliseconds) => FleetChange;
	toView: (now: Milliseconds) => FleetView;
};

type Known = PublishedServer & {
	/** It was missing when an outage had ended. */
	isMissing?: boolean;
};

/** Pools and rules before any were published. */
const noRules: Pick<PublishedRules, 'pools' | 'rules'> = {pools: [], rules: []};

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
	const servers = new Map<ServerId, Known>();
	let rules: PublishedRules | undefined;
	let config: Config | undefined;
	/** Counts changes of the servers, so that decisions see that their index is old. */
	let generation = 0;
	/** End of the last outage of the platform, or of a pause of this process, which looks the same. */
	let outageAt = -Infinity;
	let confirmedAt: Milliseconds | undefined;

	function changed(): void {
		generation++;
		config = undefined;
	}

	function takeServer(server: PublishedServer): FleetChange['servers'] {
		const known = servers.get(server.entry.id);
		servers.set(server.entry.id, server);
		if (known !== undefined && isSameServer(known, server)) {
			return [];
		}

		changed();
		return [{id: server.entry.id, became: server.leaving ? 'leaving' : 'serving'}];
	}

	function dropServer(id: ServerId, now: Milliseconds): FleetChange['servers'] {
		const known = servers.get(id);
		if (known === undefined) {
			return [];
		}

		// Right after an outage a missing entry may have lapsed for want of a platform to write to:
		// believed at once, a whole pool would be empty for two seconds while its servers serve.
		if (now - outageAt < lapseGraceMs && !known.leaving) {
			servers.set(id, {...known, isMissing: true});
			return [];
		}

		servers.delete(id);
		changed();
		return [{id, became: 'gone'}];
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

	function apply(changes: readonly PublishedChange[], now: Milliseconds): FleetChange {
		if (confirmedAt !== undefined && now - confirmedAt >= lapseAfterMs) {
			outageAt = now;
		}

		confirmedAt = now;
		let newRules: PublishedRules | undefined;
		const serverChanges: Array<FleetChange['servers'][number]> = [];
		const unreadable: Array<FleetChange['unreadable'][number]> = [];
		for (const change of changes) {
			switch (change.kind) {
				case 'rules': {
					newRules = takeRules(change.rules) ?? newRules;
					break;
				}

				case 'server': {
					serverChanges.push(...takeServer(change.server));
					break;
				}

				case 'server-gone': {
					serverChanges.push(...dropServer(change.id, now));
					break;
				}

				case 'unreadable': {
					unreadable.push({key: change.key, reason: change.reason});
					break;
				}
			}
		}

		return {rules: newRules, servers: serverChanges, unreadable};
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
		apply,
		replace(changes, now) {
			const listed = new Set(changes.flatMap(change => change.kind === 'server' ? [change.server.entry.id] : []));
			const gone = [...servers.keys()]
				.filter(id => !listed.has(id))
				.map((id): PublishedChange => ({kind: 'server-gone', id}));
			return apply([...changes, ...gone], now);
		},
		sweep(now) {
			const overdue = [...servers]
				.filter(([, {isMissing}]) => isMissing === true && now - outageAt >= lapseGraceMs)
				.flatMap(([id]) => dropServer(id, now));
			return {rules: undefined, servers: overdue, unreadable: []};
		},
		toView: now => ({
			accepted: rules === undefined
				? undefined
				: {version: {edition: rules.version, revision: generation, digest: ''}, config: toConfig(), text: ''},
			hosts: new Map(),
			servers: new Map([...servers].map(([id, known]) => [id, toStatus(known)])),
			platformConfirmedAt: confirmedAt,
			receivedAt: now,
		}),
	};
}
