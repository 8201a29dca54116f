/**
 * Measures membership, loads and summaries together on a logical clock: bytes sent by
 * the mean host and by the contacts of a zone, and the time until other zones know that
 * a zone has become full or free again.
 */
import {performance} from 'node:perf_hooks';
import {pickZoneContacts} from '../../../src/domain/pick-zone-contacts/index.js';
import {
	createSpreadFleet, type Kind, type Sent, type SpreadFleet,
} from './create-spread-fleet.js';

const settleMs = 240_000;
const loadsFromMs = 200_000;
const measureMs = 60_000;
const changes = 6;
const changeMs = 40_000;
const stepMs = 50;
const none: Sent = {membership: 0, loads: 0, summaries: 0};

export type SpreadRow = {
	hosts: number;
	zones: number;
	/** Bytes a second that the mean host sends, with headers and acknowledgements. */
	meanMembership: number;
	meanLoads: number;
	meanSummaries: number;
	meanAll: number;
	/** Bytes a second that the busiest zone contact sends. */
	contactMembership: number;
	contactLoads: number;
	contactSummaries: number;
	contactAll: number;
	/** Bytes a second that the busiest of all hosts sends. */
	busiestAll: number;
	/** Time from a change of a zone until the first, the median and the last host of the other zones know it, as medians over the changes, and the longest time of all; `undefined` in a small fleet, which has no summaries. */
	firstKnewMs: number | undefined;
	middleKnewMs: number | undefined;
	lastKnewMs: number | undefined;
	worstKnewMs: number | undefined;
	/** Wall-clock time of the run. */
	seconds: number;
};

const toMedian = (values: readonly number[]): number => values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? Infinity;

const toSum = ({membership, loads, summaries}: Sent): number => membership + loads + summaries;

/** Returns the times after a change at which the hosts of the other zones know it, shortest first; `Infinity` for hosts that don't know it within `changeMs`. */
async function runChange({agents, full, network, run}: SpreadFleet, zone: string, isFull: boolean): Promise<number[]> {
	const changedAt = network.now();
	const waiting = new Set([...agents.values()].filter(agent => agent.zone !== zone));
	const knewAfter: number[] = [];
	full[isFull ? 'add' : 'delete'](zone);
	while (waiting.size > 0 && network.now() - changedAt < changeMs) {
		await run(stepMs);
		for (const agent of waiting) {
			const rows = agent.table.view(network.now()).zones?.get(zone)?.rows.filter(({role}) => role === 'decode') ?? [];
			if (rows.length > 0 && rows.every(({free}) => (free === 0) === isFull)) {
				waiting.delete(agent);
				knewAfter.push(network.now() - changedAt);
			}
		}
	}

	return [...knewAfter, ...[...waiting].map(() => Infinity)];
}

async function measureChanges(fleet: SpreadFleet, zone: string): Promise<Pick<SpreadRow, 'firstKnewMs' | 'middleKnewMs' | 'lastKnewMs' | 'worstKnewMs'>> {
	const runs: number[][] = [];
	if (![...fleet.agents.values()].some(({table}) => table.view(0).zones?.size)) {
		return {
			firstKnewMs: undefined, middleKnewMs: undefined, lastKnewMs: undefined, worstKnewMs: undefined,
		};
	}

	for (let i = 0; i < changes; i++) {
		runs.push(await runChange(fleet, zone, i % 2 === 0));
	}

	const lasts = runs.map(times => times.at(-1)!);
	return {
		firstKnewMs: toMedian(runs.map(times => times[0]!)), middleKnewMs: toMedian(runs.map(times => toMedian(times))), lastKnewMs: toMedian(lasts), worstKnewMs: Math.max(...lasts),
	};
}

/**
 * Measures a fleet of one size.
 *
 * @param hostsOfZone - Number of hosts by zone.
 * @param seed - Seed of the random number generator.
 * @returns Row for this size.
 */
export async function measureSpread(hostsOfZone: Readonly<Record<string, number>>, seed = 42): Promise<SpreadRow> {
	const startedAt = performance.now();
	const fleet = createSpreadFleet(hostsOfZone, seed);
	const {network, sent} = fleet;
	await fleet.run(loadsFromMs);
	fleet.startLoads();
	await fleet.run(settleMs - loadsFromMs);
	sent.clear();
	await fleet.run(measureMs);
	const rows = network.ids.map(id => ({id, ...sent.get(id) ?? none}));
	const isContact = ({id}: {id: string}) => {
		const {zone} = network.nodes.get(id)!;
		return pickZoneContacts(zone, [...network.nodes.values()].filter(node => node.zone === zone).map(node => ({id: node.id, life: 'alive'}))).includes(id);
	};

	const busiest = rows.filter(row => isContact(row)).toSorted((a, b) => toSum(b) - toSum(a))[0]!;
	const toRate = (bytes: number) => Math.round(bytes * 1000 / measureMs);
	const toMean = (kind: Kind) => toRate(rows.reduce((sum, row) => sum + row[kind], 0) / rows.length);
	return {
		hosts: rows.length,
		zones: Object.keys(hostsOfZone).length,
		meanMembership: toMean('membership'),
		meanLoads: toMean('loads'),
		meanSummaries: toMean('summaries'),
		meanAll: toRate(rows.reduce((sum, row) => sum + toSum(row), 0) / rows.length),
		contactMembership: toRate(busiest.membership),
		contactLoads: toRate(busiest.loads),
		contactSummaries: toRate(busiest.summaries),
		contactAll: toRate(toSum(busiest)),
		busiestAll: toRate(Math.max(...rows.map(row => toSum(row)))),
		...await measureChanges(fleet, Object.keys(hostsOfZone)[0]!),
		seconds: Math.round((performance.now() - startedAt) / 1000),
	};
}
