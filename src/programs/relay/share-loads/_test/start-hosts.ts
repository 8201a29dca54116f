/** Starts hosts in virtual time, whose messages arrive within the step in which they are sent. */
import {createLog} from '../../../../adapters/log/index.js';
import {encodeOriginMessage} from '../../../../adapters/origin-datagrams/index.js';
import {encodeQuotaMessage} from '../../../../adapters/quota-datagrams/index.js';
import {decodeLoadMessage, encodeLoadMessage, type openLoadDatagrams} from '../../../../adapters/load-datagrams/index.js';
import {createCrashSuspects, type CrashSuspects, type CrashSuspectsOptions} from '../../../../domain/create-crash-suspects/index.js';
import {createPartQuarantine, type PartQuarantine} from '../../../../domain/create-part-quarantine/index.js';
import {createRequestLimits, type RequestLimits} from '../../../../domain/create-request-limits/index.js';
import {type Milliseconds, type Random} from '../../../../ports/clock.js';
import {type PlaceMessage} from '../../../../ports/places.js';
import {type QuotaMessage} from '../../../../ports/quotas.js';
import {type LoadMessage} from '../../../../ports/shared-loads.js';
import {type OriginMessage} from '../../../../ports/stream-origins.js';
import {msPerSecond} from '../../../../ports/units.js';
import {shareLoads, type LoadExchange} from '../index.js';

export const zones = ['a', 'b', 'c', 'd', 'e', 'f'];
export const stepMs: Milliseconds = 50;

export type Host = {name: string; zone: string; address: string; sharing: LoadExchange; suspects: CrashSuspects; partQuarantine: PartQuarantine; limits: RequestLimits; startedAt: Milliseconds; isDead: boolean};

export const log = createLog({
	level: 'error', program: 'test', host: 'h', zone: 'z', incarnation: 1, sink: {write: () => true, writableLength: 0, on: () => undefined},
});

/**
 * Starts hosts.
 *
 * @param count - Number of hosts, spread over the zones.
 * @param options - Share of messages that is lost, the source of randomness that picks them, and how crashes are judged.
 * @returns The hosts, and functions to advance time and inject faults.
 */
export async function startHosts(count: number, {lossShare = 0, random = () => 1, ...record}: {lossShare?: number; random?: Random} & Pick<CrashSuspectsOptions, 'lingerMs' | 'survivalWeight' | 'toVersion'> = {}) {
	let now: Milliseconds = 0;
	const receivers = new Map<string, (message: LoadMessage, from: string) => void>();
	const quotaReceivers = new Map<string, (message: QuotaMessage, from: string) => void>();
	const placeReceivers = new Map<string, (message: PlaceMessage, from: string) => void>();
	const originReceivers = new Map<string, (message: OriginMessage, from: string) => void>();
	const hosts: Host[] = [];
	const cutOff = new Set<string>();
	const cutZones = new Set<string>();
	const sent = {messages: 0, bytes: 0};
	const quotaSent = {messages: 0, bytes: 0};
	const originSent = {messages: 0, bytes: 0};

	const zoneOf = new Map<string, string>();

	function isReached(from: string, to: string): boolean {
		const isAcrossCut = zoneOf.get(from) !== zoneOf.get(to) && [from, to].some(address => cutZones.has(zoneOf.get(address)!));
		return !cutOff.has(from) && !cutOff.has(to) && !isAcrossCut;
	}

	const open: typeof openLoadDatagrams = async ({address, onMessage, onQuota, onPlace, onOrigin}) => {
		receivers.set(address, onMessage);
		quotaReceivers.set(address, onQuota!);
		placeReceivers.set(address, onPlace!);
		originReceivers.set(address, onOrigin!);
		return {
			send(message, to) {
				sent.messages += to.length;
				const bytes = encodeLoadMessage(message);
				sent.bytes += to.length * bytes.length;
				// Reports that do not fit into a datagram are cut off, so messages with reports are decoded as received; the others are passed on without decoding to save time.
				const received = message.crashes.length === 0 && message.partCrashes === undefined ? message : decodeLoadMessage(bytes)._unsafeUnwrap();
				for (const target of to.filter(() => random() >= lossShare).filter(target => isReached(address, target))) {
					receivers.get(target)?.(received, address);
				}
			},
			sendQuota(message, target) {
				quotaSent.messages++;
				quotaSent.bytes += encodeQuotaMessage(message).length;
				if (random() >= lossShare && isReached(address, target)) {
					quotaReceivers.get(target)?.(message, address);
				}
			},
			sendPlace(message, target) {
				if (random() >= lossShare && isReached(address, target)) {
					placeReceivers.get(target)?.(message, address);
				}
			},
			sendOrigin(message, target) {
				originSent.messages++;
				originSent.bytes += encodeOriginMessage(message).length;
				if (random() >= lossShare && isReached(address, target)) {
					originReceivers.get(target)?.(message, address);
				}
			},
			close: async () => undefined,
		};
	};

	async function start(i: number): Promise<Host> {
		const zone = zones[i % zones.length]!;
		const address = `10.0.${Math.floor(i / 250)}.${1 + (i % 250)}:7380`;
		zoneOf.set(address, zone);
		const suspects = createCrashSuspects(record);
		let isFirstFor = (_key: string): boolean => true;
		const partQuarantine = createPartQuarantine({isPicked: key => isFirstFor(key)});
		const limits = createRequestLimits();
		const sharing = await shareLoads({
			address, zone, open, log, suspects, partQuarantine, limits, seeds: ['10.0.0.1:7380', '10.0.0.2:7380', '10.0.0.3:7380'], host: `front-${zone}-${i}`, incarnation: now, clock: {now: () => now, wallNow: () => now},
		});
		isFirstFor = sharing.isFirstFor;
		return {
			name: `front-${zone}-${i}`, zone, address, sharing, suspects, partQuarantine, limits, startedAt: now, isDead: false,
		};
	}

	for (let i = 0; i < count; i++) {
		hosts.push(await start(i));
	}

	/** Each host has a request in flight; a third of the hosts changes its number of requests three times a second. */
	function tick(host: Host, i: number): void {
		const isBusy = Math.floor(i / zones.length) % 3 === 0;
		const requests = isBusy ? 1 + (Math.floor(now / 333) % 3) : 1;
		host.sharing.quotas.tick(now);
		host.sharing.origins.tick(now);
		host.sharing.tick([{server: `of ${host.name}`, requests, promptTokens: 3000}]);
	}

	function pass(ms: Milliseconds): void {
		const until = now + ms;
		while (now < until) {
			now += stepMs;
			for (const [i, host] of hosts.entries()) {
				if (!host.isDead) {
					tick(host, i);
				}
			}
		}
	}

	return {
		hosts,
		pass,
		now: () => now,
		/** Returns the average number of messages and bytes that a host sends a second. */
		measure(ms: Milliseconds) {
			const before = {...sent};
			pass(ms);
			const seconds = ms / msPerSecond;
			const living = hosts.filter(({isDead}) => !isDead).length;
			return {messages: (sent.messages - before.messages) / living / seconds, bytes: (sent.bytes - before.bytes) / living / seconds};
		},
		/** Starts one more host. */
		async startOne(): Promise<Host> {
			const host = await start(hosts.length);
			hosts.push(host);
			return host;
		},
		/** Replaces the process of a host by a new one, without any state. */
		async restart(host: Host): Promise<void> {
			const i = hosts.indexOf(host);
			hosts[i] = await start(i);
		},
		/** Cuts a host off from all others until `heal` is called. */
		cut(host: Host): void {
			cutOff.add(host.address);
		},
		/** Cuts a zone off from the others until `heal` is called. */
		cutZone(zone: string): void {
			cutZones.add(zone);
		},
		heal(): void {
			cutOff.clear();
			cutZones.clear();
		},
		kill(host: Host): void {
			host.isDead = true;
			receivers.delete(host.address);
			quotaReceivers.delete(host.address);
			originReceivers.delete(host.address);
		},
		/** Messages about loads and crashes since the start. */
		sent: () => ({...sent}),
		/** Messages about limits since the start. */
		quotaSent: () => ({...quotaSent}),
		/** Messages about the origins of streams since the start. */
		originSent: () => ({...originSent}),
		/** Returns the hosts whose loads a host knows. */
		heardBy: ({sharing}: Host): Host[] => hosts.filter(other => sharing.read(`of ${other.name}`, now).requests > 0),
		silentZones: ({sharing}: Host): string[] => zones.filter(zone => sharing.isZoneSilent(zone, now)),
	};
}

