/**
 * Hosts in virtual time that keep origins of streams. Their messages may be lost;
 * hosts are killed and start again, and zones are cut off. How hosts hear of each
 * other is simplified: a host is known for some seconds after it was lost, and a
 * host that starts knows the others, and is noticed, after a moment.
 */
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type ZoneId} from '../../../ports/ids.js';
import {type NamedPeer} from '../../../ports/shared-loads.js';
import {type OriginMessage} from '../../../ports/stream-origins.js';
import {createStreamOrigins, type StreamOriginsTable} from '../index.js';

export type ModelHost = {
	address: string;
	zone: ZoneId;
	origins: StreamOriginsTable;
	isAlive: boolean;
	startedAt: Milliseconds;
	/** When its zone was last cut off, or the cut ended. */
	cutAt: Milliseconds;
	/** Time of the platform's contents that it knows. */
	readAt: Milliseconds;
};

/** Chooses the other hosts that keep or are asked for a record. */
export type PickHosts = (key: string, self: NamedPeer, known: readonly NamedPeer[]) => readonly string[];

export type ModelHostsOptions = {
	count: number;
	zones: number;
	random: Random;
	lossShare: number;
	/** Hosts that are told where a stream began, and hosts that are asked. */
	toKeepers: PickHosts;
	toAsked: PickHosts;
	toBytes: (message: OriginMessage) => number;
};

const knownAfterLossMs: Milliseconds = 10_000;
const noticeMs: Milliseconds = 500;
const downMs: Milliseconds = 800;
/** Time without any trouble after which a host is in touch. */
const contactMs: Milliseconds = 4000;
/** Hosts in a fleet of which each hears all others. */
const smallFleet = 16;
/** Share of the hosts that hear a restart at once in a larger fleet. */
const heardShare = 0.04;

/**
 * Starts the hosts.
 *
 * @param options - See {@link ModelHostsOptions}.
 * @returns The hosts, and functions that advance time and inject faults.
 */
export function createHosts({count, zones, random, lossShare, toKeepers, toAsked, toBytes}: ModelHostsOptions) {
	let now: Milliseconds = 0;
	const cutZones = new Set<ZoneId>();
	const sent = {messages: 0, bytes: 0};
	const inFlight: Array<{to: string; from: string; message: OriginMessage}> = [];
	const starting: Array<{host: ModelHost; at: Milliseconds}> = [];
	const noticing: Array<{host: ModelHost; at: Milliseconds}> = [];
	const lostAt = new Map<string, Milliseconds>();

	const isCut = (a: ZoneId, b: ZoneId): boolean => a !== b && (cutZones.has(a) || cutZones.has(b));

	function listKnown(self: ModelHost): readonly NamedPeer[] {
		const isKnown = (host: ModelHost): boolean => host !== self && (host.isAlive || now - (lostAt.get(host.address) ?? -Infinity) < knownAfterLossMs);
		return now - self.startedAt < noticeMs && self.startedAt > 0 ? [] : hosts.filter(host => isKnown(host));
	}

	function startOrigins(host: ModelHost): StreamOriginsTable {
		const send = (message: OriginMessage, to: string) => {
			sent.messages++;
			sent.bytes += toBytes(message);
			inFlight.push({to, from: host.address, message});
		};

		let isAsking = false;
		const table = createStreamOrigins({
			pickKeepers: key => (isAsking ? toAsked : toKeepers)(key, host, listKnown(host)), send,
		});
		return {
			...table,
			find(key, at, settle) {
				isAsking = true;
				table.find(key, at, settle);
				isAsking = false;
			},
		};
	}

	function createHost(i: number): ModelHost {
		const host: ModelHost = {
			address: `10.0.${Math.floor(i / 250)}.${i % 250}:7380`, zone: `z${i % zones}`, origins: undefined!, isAlive: true, startedAt: 0, cutAt: -Infinity, readAt: 0,
		};
		host.origins = startOrigins(host);
		return host;
	}

	const hosts: readonly ModelHost[] = Array.from({length: count}, (_, i) => createHost(i));
	const byAddress = new Map(hosts.map(host => [host.address, host]));

	function deliver(): void {
		for (const {to, from, message} of inFlight.splice(0)) {
			const target = byAddress.get(to)!;
			if (target.isAlive && random() >= lossShare && !isCut(target.zone, byAddress.get(from)!.zone)) {
				target.origins.receive(message, from, now);
			}
		}
	}

	function startDue(): void {
		while (starting[0] !== undefined && starting[0].at <= now) {
			const {host} = starting.shift()!;
			host.isAlive = true;
			host.startedAt = now;
			host.origins = startOrigins(host);
			noticing.push({host, at: now + noticeMs});
		}
	}

	function noticeDue(): void {
		while (noticing[0] !== undefined && noticing[0].at <= now) {
			const {host} = noticing.shift()!;
			for (const other of hosts) {
				const isHeard = count <= smallFleet || random() < heardShare;
				if (other !== host && other.isAlive && isHeard && !isCut(other.zone, host.zone)) {
					other.origins.noteStarted(host.address, now);
				}
			}
		}
	}

	return {
		hosts,
		now: () => now,
		sent: () => ({...sent}),
		/** Kills a host, which starts again soon without any state. */
		kill(host: ModelHost): void {
			host.isAlive = false;
			lostAt.set(host.address, now);
			starting.push({host, at: now + downMs});
		},
		cutZone(zone: ZoneId): void {
			cutZones.add(zone);
		},
		heal(): void {
			cutZones.clear();
		},
		isCutOff: ({zone}: ModelHost): boolean => cutZones.has(zone),
		isInTouch: (host: ModelHost): boolean => now - host.startedAt >= contactMs && now - host.cutAt >= contactMs,
		tick(ms: Milliseconds): void {
			now += ms;
			startDue();
			noticeDue();
			for (const host of hosts) {
				if (cutZones.has(host.zone)) {
					host.cutAt = now;
				} else {
					host.readAt = now;
				}
			}

			// An answer may follow within the same step.
			deliver();
			deliver();
			for (const host of hosts) {
				if (host.isAlive) {
					host.origins.tick(now);
				}
			}
		},
	};
}

export type ModelHosts = ReturnType<typeof createHosts>;
