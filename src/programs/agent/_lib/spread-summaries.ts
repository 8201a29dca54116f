/**
 * Passes summaries of zones between agents of a large fleet. Two hosts of each
 * zone make its summary; it rides on their pings to other zones, and what they
 * hear they tell their own zone in rounds.
 */
import {isRecord} from '../../../_lib/is-record/index.js';
import {createZoneSummaries} from '../../../domain/create-zone-summaries/index.js';
import {type FleetTable} from '../../../domain/create-fleet-table/index.js';
import {pickTreeChildren} from '../../../domain/pick-tree-children/index.js';
import {pickZoneContacts} from '../../../domain/pick-zone-contacts/index.js';
import {summariseZone} from '../../../domain/summarise-zone/index.js';
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type HostId} from '../../../ports/ids.js';
import {type HostStatus, type ZoneSummary} from '../../../ports/view.js';
import {isSmallFleet} from './is-small-fleet.js';
import {isSummariesEvent, peerEvents, type SummariesEvent} from './peer-messages.js';

/** Heartbeat intervals between two summaries of the own zone, and between two rounds of one contact. */
const summaryIntervals = 1;
const roundIntervals = 3;

/** Each new view of the zones goes to the entry whole, so changes of one interval go together. */
const tableUpdateIntervals = 1;

/** A contact whose rounds count from a lower number again, after a restart with a slower clock, is heard after this many intervals. */
const roundMemoryIntervals = 8 * roundIntervals;
const msPerRound = 1000;

export type SpreadSummariesOptions = {
	table: FleetTable;
	self: {id: HostId; zone: string};
	hosts: () => ReadonlyMap<HostId, HostStatus>;
	send: (host: HostStatus, name: string, body: unknown) => void;
	intervalMs: Milliseconds;
	now: () => Milliseconds;
	wallNow: () => Milliseconds;
	random: Random;
	/** When what is being received has arrived at the earliest, monotonic milliseconds. */
	toArrival: () => Milliseconds;
	/** Other live hosts from which on the fleet is large. */
	smallFleet?: number;
};

export type SummariesTask = {
	/** Makes and tells what is due, and shows what is known in the table. */
	tick: () => void;
	/** Bytes that ride on a ping to a host of another zone. */
	toPiggybackedSummary: (to: HostId) => Uint8Array | undefined;
	handlePiggybackedSummary: (bytes: Uint8Array) => void;
	/** Takes an event of a peer; returns whether it was one of these. */
	handleEvent: (name: string, body: unknown) => boolean;
};

/**
 * Creates the task.
 *
 * @param options - See {@link SpreadSummariesOptions}.
 * @returns See {@link SummariesTask}.
 */
export function spreadSummaries({table, self, hosts, send, intervalMs, now, wallNow, random, toArrival, smallFleet}: SpreadSummariesOptions): SummariesTask {
	const summaries = createZoneSummaries();
	const lastRounds = new Map<HostId, {round: number; at: Milliseconds}>();
	let zoneState: {hosts: ReadonlyMap<HostId, HostStatus>; liveHosts: readonly HostId[]; isActing: boolean} | undefined;
	let others: {zones: ReadonlyMap<string, ZoneSummary>; shown: ReadonlyMap<string, ZoneSummary>} | undefined;
	let nextSummaryAt = -Infinity;
	let nextTableUpdateAt = -Infinity;
	let nextRoundAt = now() + (random() * roundIntervals * intervalMs);
	let round = 0;

	/** Live hosts of the zone, and whether this host is one of the two that speak for it in a large fleet. */
	function toZoneState() {
		const known = hosts();
		if (zoneState?.hosts !== known) {
			const ofZone = [...known.values()].filter(({zone}) => zone === self.zone);
			zoneState = {
				hosts: known,
				liveHosts: ofZone.filter(({life}) => life === 'alive').map(({id}) => id),
				isActing: !isSmallFleet(self.id, known, smallFleet) && pickZoneContacts(self.zone, ofZone).includes(self.id),
			};
		}

		return zoneState;
	}

	function forwardRound(root: HostId, number: number) {
		const bytes = summaries.pack(now());
		const children = bytes ? pickTreeChildren(`${root} ${number}`, toZoneState().liveHosts, root, self.id) : [];
		for (const id of children) {
			send(hosts().get(id)!, peerEvents.summaries, {root, round: number, bytes} satisfies Partial<SummariesEvent>);
		}
	}

	function makeSummary() {
		nextSummaryAt = now() + (summaryIntervals * intervalMs);
		const {rows, at} = summariseZone(table.view(now()), self.zone, now());
		if (rows.length > 0) {
			summaries.setOwn({zone: self.zone, at, rows}, now(), wallNow());
		}
	}

	function startRound() {
		nextRoundAt = now() + (roundIntervals * intervalMs * (0.9 + (random() / 5)));
		round = Math.max(round + 1, Math.floor(wallNow() / msPerRound));
		forwardRound(self.id, round);
	}

	function updateTable() {
		nextTableUpdateAt = now() + (tableUpdateIntervals * intervalMs);
		const config = table.accepted()?.config;
		const zones = config && summaries.view(config, now());
		if (zones && zones !== others?.zones) {
			others = {zones, shown: new Map([...zones].filter(([zone]) => zone !== self.zone))};
			table.setZones(others.shown);
		}
	}

	/** Each round once, or hosts that disagree on who lives could pass it round in a ring. */
	function isNewRound({root, round: number}: SummariesEvent): boolean {
		const last = lastRounds.get(root);
		const isNew = !last || number > last.round || now() - last.at > roundMemoryIntervals * intervalMs;
		if (isNew) {
			lastRounds.set(root, {round: number, at: now()});
		}

		return isNew;
	}

	return {
		tick() {
			const {isActing} = toZoneState();
			if (isActing && now() >= nextSummaryAt) {
				makeSummary();
			}

			if (isActing && now() >= nextRoundAt) {
				startRound();
			}

			if (now() >= nextTableUpdateAt) {
				updateTable();
			}
		},
		toPiggybackedSummary: to => toZoneState().isActing && hosts().get(to)?.zone !== self.zone ? summaries.pack(now(), self.zone) : undefined,
		handlePiggybackedSummary(bytes) {
			summaries.merge(bytes, toArrival(), now());
		},
		handleEvent(name, body) {
			if (name !== peerEvents.summaries) {
				return false;
			}

			if (isSummariesEvent(body) && hosts().get(body.root)?.zone === self.zone) {
				summaries.merge(body.bytes, toArrival(), now());
				if (isNewRound(body)) {
					forwardRound(body.root, body.round);
				}
			}

			return true;
		},
	};
}
