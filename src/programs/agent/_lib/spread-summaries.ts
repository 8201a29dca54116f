/**
 * Sends summaries of zones between agents of a large fleet. Two hosts of each
 * zone, its contacts, make the zone's summary. The summary is piggybacked on
 * their pings to other zones, and they distribute the summaries that they receive
 * within their own zone in rounds.
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

/** Heartbeat intervals between two summaries of this host's zone, and between two rounds of one contact. */
const summaryIntervals = 1;
const roundIntervals = 3;

/** Heartbeat intervals between two updates of the table. Each update is sent to the entry as a whole, so the changes of one interval are combined. */
const tableUpdateIntervals = 1;

/** Heartbeat intervals after which a contact's last round number is forgotten. A contact that restarts with a slower clock numbers its rounds from a lower number, and would be ignored otherwise. */
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
	/** Earliest time at which the message being handled may have arrived, monotonic milliseconds. */
	toArrival: () => Milliseconds;
	/** Number of other live hosts at which the fleet is large. */
	smallFleet?: number;
};

export type SummariesTask = {
	/** Makes the summary and starts the round that are due, and updates the table with the known summaries. */
	tick: () => void;
	/** Returns the packed summary to piggyback on a ping to a host of another zone; `undefined` if there is none to send. */
	toPiggybackedSummary: (to: HostId) => Uint8Array | undefined;
	handlePiggybackedSummary: (bytes: Uint8Array) => void;
	/** Handles an event of a peer; returns whether the event was of this kind. */
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

	/** Returns the live hosts of this zone, and whether this host is one of the zone's two contacts in a large fleet. */
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

	/** Whether a round is new. Each round is forwarded only once, because hosts that disagree on the live hosts could forward it in a circle. */
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
