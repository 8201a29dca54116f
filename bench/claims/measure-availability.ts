/** Measures the share of first requests with a fresh key that are refused, by design and by failure. */
import {errAsync, okAsync} from 'neverthrow';
import {v7} from 'uuid';
import {claimKey} from '../../src/domain/claim-key/index.js';
import {type ClaimWitness, createClaimWitness} from '../../src/domain/create-claim-witness/index.js';
import {pickWitnesses, type WitnessSet} from '../../src/domain/pick-witnesses/index.js';
import {type Random} from '../../src/ports/clock.js';
import {type HostEntry} from '../../src/ports/config.js';
import {msPerHour, msPerMinute} from '../../src/ports/units.js';

export type Fleet = {name: string; zones: number; perZone: number};

export type Design = {
	name: string;
	pick: (key: string, hosts: readonly HostEntry[]) => WitnessSet;
};

type HostState = 'up' | 'away' | 'restarted';

type Trial = {
	hosts: readonly HostEntry[];
	random: Random;
	/** Zone of the host that receives the request. */
	zone: string;
};

export type Case = {
	name: string;
	toStates: (trial: Trial) => ReadonlyMap<string, HostState>;
	/** Time by which the caller's clock is ahead. */
	callerAheadMs?: number;
	/** Time by which the clocks of all restarted hosts are ahead. */
	hostAheadMs?: number;
	/** Whether a host was just added to the list, so that claims also go to the witnesses of the previous list. */
	isListNew?: boolean;
};

const trials = 40;
const keysPerTrial = 25;
const now = 1_800_000_000_000;

function pickOne<T>(items: readonly T[], random: Random): T {
	return items[Math.floor(random() * items.length)]!;
}

function markOne(states: Map<string, HostState>, {hosts, random}: Trial, state: HostState) {
	const free = hosts.filter(host => !states.has(host.id));
	if (free.length > 0) {
		states.set(pickOne(free, random).id, state);
	}

	return states;
}

function cutOff({hosts}: Trial, isCut: (zone: string) => boolean): Map<string, HostState> {
	return new Map(hosts.filter(host => isCut(host.zone)).map(host => [host.id, 'away']));
}

/** Returns a zone other than that of the host that receives the request. */
function toLostZone({hosts, zone}: Trial): string {
	return hosts.find(host => host.zone !== zone)!.zone;
}

function loseZone(trial: Trial): Map<string, HostState> {
	return cutOff(trial, zone => zone === toLostZone(trial));
}

export const cases: readonly Case[] = [
	{name: 'nothing', toStates: () => new Map()},
	{name: 'host away', toStates: trial => markOne(new Map(), trial, 'away')},
	{name: 'host killed, back', toStates: trial => markOne(new Map(), trial, 'restarted')},
	{name: 'host away, host killed and back', toStates: trial => markOne(markOne(new Map(), trial, 'away'), trial, 'restarted')},
	{name: 'two hosts killed, back', toStates: trial => markOne(markOne(new Map(), trial, 'restarted'), trial, 'restarted')},
	{name: 'zone lost', toStates: loseZone},
	{name: 'zone lost, host killed and back', toStates: trial => markOne(loseZone(trial), trial, 'restarted')},
	{name: 'zone lost, host away', toStates: trial => markOne(loseZone(trial), trial, 'away')},
	{name: 'asked in the cut-off zone', toStates: trial => cutOff(trial, zone => zone !== trial.zone)},
	{name: 'zone replaced', toStates: trial => new Map(trial.hosts.filter(host => host.zone === toLostZone(trial)).map(host => [host.id, 'restarted']))},
	{name: 'all killed, back (first start)', toStates: ({hosts}) => new Map(hosts.map(host => [host.id, 'restarted']))},
	{name: 'caller 2 min ahead, host killed and back', callerAheadMs: 2 * msPerMinute, toStates: trial => markOne(new Map(), trial, 'restarted')},
	{name: 'caller 2 min behind', callerAheadMs: -2 * msPerMinute, toStates: () => new Map()},
	{
		name: 'host and caller 2 min off, host killed', callerAheadMs: -2 * msPerMinute, hostAheadMs: 2 * msPerMinute, toStates: trial => markOne(new Map(), trial, 'restarted'),
	},
	{name: 'host added to the list', isListNew: true, toStates: () => new Map()},
	{name: 'host added, host away', isListNew: true, toStates: trial => markOne(new Map(), trial, 'away')},
];

function toHosts({zones, perZone}: Fleet): HostEntry[] {
	return Array.from({length: zones * perZone}, (_, i) => ({id: `host-${i}`, zone: `zone-${i % zones}`}));
}

async function runTrial(hosts: readonly HostEntry[], design: Design, one: Case, random: Random): Promise<number> {
	const earlier = one.isListNew ? hosts.slice(1) : hosts;
	const {zone} = pickOne(hosts, random);
	const states = one.toStates({hosts, random, zone});
	const witnesses = new Map<string, ClaimWitness>(hosts.map(({id}) => [id, createClaimWitness({
		slot: id, incarnation: 1, startedAt: states.get(id) === 'restarted' ? now + (one.hostAheadMs ?? 0) - msPerMinute : now - msPerHour,
	})]));
	let refused = 0;
	for (let i = 0; i < keysPerTrial; i++) {
		const key = v7({msecs: now + (one.callerAheadMs ?? 0), seq: i, random: Uint8Array.from({length: 16}, () => Math.floor(random() * 256))});
		const lists = one.isListNew ? [hosts, earlier] : [hosts];
		const claimed = await claimKey({
			request: {
				workspace: 'w', key, claimId: key, digest: 'd', isRepeatable: false, claimant: {host: 'host', incarnation: 1, address: ''},
			},
			sets: lists.map(list => design.pick(key, list)),
			ask: (slot, request) => states.get(slot) === 'away' ? errAsync({message: 'away'}) : okAsync(witnesses.get(slot)!.claim(request, now)),
			release: () => undefined,
			wait: async () => undefined,
			random,
		});
		refused += claimed.isOk() && claimed.value.kind === 'granted' ? 0 : 1;
	}

	return refused;
}

/**
 * Measures one design in one case.
 *
 * @returns Share of keys refused, 0 to 1.
 */
export async function measureRefusals(fleet: Fleet, design: Design, one: Case, random: Random): Promise<number> {
	const hosts = toHosts(fleet);
	let refused = 0;
	for (let trial = 0; trial < trials; trial++) {
		refused += await runTrial(hosts, design, one, random);
	}

	return refused / (trials * keysPerTrial);
}

/** Picks a single static owner for each key. */
export function pickOwner(key: string, hosts: readonly HostEntry[]): WitnessSet {
	return {
		slots: pickWitnesses(key, hosts).slots.slice(0, 1), quorum: 1, maskedSlots: 0, survivesZone: false,
	};
}

/** Picks a quorum of two among three slots, each slot in another zone; fewer slots if there are fewer zones. */
export function pickThree(key: string, hosts: readonly HostEntry[]): WitnessSet {
	const zones = new Map(hosts.map(host => [host.id, host.zone]));
	const ranked = pickWitnesses(key, hosts).slots;
	const slots = ranked.filter((slot, i) => ranked.findIndex(other => zones.get(other) === zones.get(slot)) === i).slice(0, 3);
	return {
		slots, quorum: 2, maskedSlots: 0, survivesZone: true,
	};
}
