/**
 * Membership between agents: who is there, who is suspected, who is dead.
 * Why it is built so is in `docs/design/006-membership.md`.
 *
 * It decides and does no I/O: {@link Membership.tick} is called about ten times
 * a second, {@link Membership.receive} for each message, and both return the
 * messages to send.
 */
import {type Milliseconds, type Random} from '../../ports/clock.js';
import {type HostId, type Incarnation, type ZoneId} from '../../ports/ids.js';
import {type HostStatus} from '../../ports/view.js';
import {createPauseGuard} from '../create-pause-guard/index.js';
import {createOwnRecord} from './_lib/create-own-record.js';
import {createProber} from './_lib/create-prober.js';
import {createRecords} from './_lib/create-records.js';
import {createSync} from './_lib/create-sync.js';
import {createTargets} from './_lib/create-targets.js';
import {createVerdicts} from './_lib/create-verdicts.js';
import {createZoneContacts} from './_lib/create-zone-contacts.js';
import {type Membership, type MembershipOptions, type OwnStatement} from './_lib/membership-types.js';
import {toHosts} from './_lib/to-hosts.js';
import {
	type HostRecord, type MemberMessage, type MessageBody, type OutMessage,
} from './_lib/types.js';

export {type HostRecord, type MemberMessage, type OutMessage} from './_lib/types.js';
export {type Membership, type MembershipOptions, type OwnStatement} from './_lib/membership-types.js';

const helpersAsked = 2;

/** Share of a probe's time after which others are asked to help. */
const directShare = 0.4;
const updatesInMessage = 6;

/** Sends of a change beyond the logarithm of the hosts; what gossip still misses, the comparison of tables finds. */
const spareSends = 1;
const maxSlowness = 4;

/** Limits in heartbeat intervals, so that one setting scales them all. */
const probeIntervals = 1;
const suspicionIntervals = 3;
const pausePatience = 2;

/** A contact is made every third interval and takes a few more to be known in a large zone. */
const zonePatience = 12;

/**
 * Creates the membership of one host.
 *
 * @param options - See {@link MembershipOptions}.
 * @returns See {@link Membership}.
 *
 * @example
 * ```ts
 * const membership = createMembership({id: 'dvorana-a-1', zone: 'dvorana-a', incarnation: 1, agentAddress: '10.0.0.1:7500', seeds: ['10.0.0.2:7500'], startedAt: 0});
 * const {messages} = membership.tick(100, Math.random);
 * messages[0].address; // => '10.0.0.2:7500'
 * ```
 */
export function createMembership(options: MembershipOptions): Membership {
	const {id: ownId, zone: ownZone, intervalMs = 1000} = options;
	const {probeMs = probeIntervals * intervalMs, suspicionMs = suspicionIntervals * intervalMs} = options;
	const records = createRecords({spreadCount: hosts => spareSends + Math.ceil(Math.log2(hosts + 1))});
	const prober = createProber();
	const guard = createPauseGuard({limitMs: pausePatience * intervalMs, startedAt: options.startedAt});
	const contacts = createZoneContacts();
	const sync = createSync({records, ownId, minGapMs: intervalMs});
	const targets = createTargets({
		records, ownId, ownZone, intervalMs, startedAt: options.startedAt,
	});
	const verdicts = createVerdicts({
		records, targets, contacts, ownId, ownZone, suspicionMs, zonePatienceMs: zonePatience * intervalMs,
	});
	const seeds = new Set(options.seeds);
	const own = createOwnRecord({records, options});
	let heardAt: Milliseconds | undefined;
	let quietUntil = options.startedAt;
	let slowness = 0;
	let tickedAt = options.startedAt;
	let shown: {version: number; stale: string; hosts: ReadonlyMap<HostId, HostStatus>} | undefined;

	const {self} = own;

	function toMessage(body: MessageBody, to: HostRecord | undefined, now: Milliseconds, extra: readonly HostRecord[] = []): MemberMessage {
		const {incarnation, revision} = self();
		// A host that is not seen alive must hear it first of all, to take it back.
		const first = to && to.life !== 'alive' ? [to, ...extra] : extra;
		const rest = records.takeUpdates(updatesInMessage - Math.min(first.length, updatesInMessage));
		const updates = [...first, ...rest.filter(record => !first.some(({id}) => id === record.id))];
		return {
			...body, incarnation, revision, digest: records.digest(), updates, contacts: body.kind === 'ping' && to?.zone === ownZone ? contacts.ages(now) : undefined,
		};
	}

	function send(to: HostRecord, body: MessageBody, now: Milliseconds, extra?: readonly HostRecord[]): OutMessage {
		return {to: to.id, address: to.agentAddress, message: toMessage(body, to, now, extra)};
	}

	/** Answers a host, which may be a stranger so far: the answer goes back over its own connection. */
	function reply(to: HostId, body: MessageBody, now: Milliseconds, extra?: readonly HostRecord[]): OutMessage {
		const record = records.get(to);
		return {to, address: record?.agentAddress ?? '', message: toMessage(body, record, now, extra)};
	}

	function flood(updates: readonly HostRecord[], origin: HostId, now: Milliseconds): OutMessage[] {
		return targets.spreadTo(origin)
			.map(to => ({to: to.id, address: to.agentAddress, message: toMessage({kind: 'news'}, undefined, now, updates)}));
	}

	function isUrgent({id, life, leaving}: HostRecord, prev: HostRecord | undefined): boolean {
		// Gossip alone would be slow to fetch a juror from another zone.
		const isSuspicion = life === 'suspect' && prev?.life !== 'suspect' && verdicts.needsJurors(id);
		return life === 'dead' || life === 'left' || (leaving && prev?.leaving !== true) || isSuspicion;
	}

	/** Merges what a message says and returns what must go on at once. */
	function takeUpdates(updates: readonly HostRecord[], from: HostId, now: Milliseconds): OutMessage[] {
		const urgent: HostRecord[] = [];
		const refuted: HostRecord[] = [];
		for (const update of updates) {
			if (update.id === ownId) {
				if (own.refute(update, now)) {
					refuted.push(self());
				}

				continue;
			}

			const prev = records.get(update.id);
			const change = records.merge(update, now);
			if (change === 'record' && isUrgent(update, prev)) {
				urgent.push(update);
			}

			if (change !== 'none' && update.life === 'suspect') {
				targets.verify(update.id);
			}
		}

		return [
			...(urgent.length > 0 ? flood(urgent, from, now) : []),
			...(refuted.length > 0 ? flood(refuted, ownId, now) : []),
		];
	}

	function noteHeard(from: HostId, now: Milliseconds) {
		heardAt = now;
		const record = records.get(from);
		if (!record) {
			return;
		}

		contacts.note(record.zone, now);
		if (record.witnesses.includes(ownId)) {
			records.setWitnesses(from, record.witnesses.filter(witness => witness !== ownId));
		}
	}

	function tell(records: readonly HostRecord[], now: Milliseconds): OutMessage[] {
		return records.length > 0 ? flood(records, ownId, now) : [];
	}

	function ping(id: HostId, now: Milliseconds): OutMessage[] {
		const target = records.get(id);
		const seq = target && prober.start(id, now);
		return seq === undefined ? [] : [send(target!, {kind: 'ping', seq}, now)];
	}

	function askForHelp(target: HostId, seq: number, now: Milliseconds, random: Random): OutMessage[] {
		const helpers = verdicts.jurors(target, now).filter(({id}) => id !== ownId);
		return targets.sample(helpers, helpersAsked, random).map(helper => send(helper, {kind: 'ping-request', seq, target}, now));
	}

	function probe(now: Milliseconds, random: Random): OutMessage[] {
		const factor = 1 + slowness;
		const {helpless, failed} = prober.takeDue(now, {
			directMs: directShare * probeMs * factor, totalMs: probeMs * factor,
		});
		return [
			...(now >= quietUntil ? tell(verdicts.suspect(failed, now), now) : []),
			...helpless.flatMap(({target, seq}) => askForHelp(target, seq, now, random)),
			...targets.takeDue(now, random).flatMap(id => ping(id, now)),
		];
	}

	function greetSeeds(now: Milliseconds, random: Random): OutMessage[] {
		return targets.takeSeeds(seeds, now, random)
			.map(address => ({to: undefined, address, message: toMessage({kind: 'zones', zones: sync.zones()}, undefined, now, [self()])}));
	}

	/** Notices a pause of this process before it does or says anything. */
	function checkPause(now: Milliseconds): Milliseconds {
		const pausedMs = guard.note(now);
		if (pausedMs > 0) {
			// Answers that came meanwhile are still in the sockets: nobody may be
			// suspected for them, and no suspicion may ripen, until they are read.
			prober.clear();
			records.restartSuspicions(now);
			quietUntil = now + intervalMs;
			contacts.restart(now);
		}

		return pausedMs;
	}

	function noteSlowness(now: Milliseconds) {
		// A process that is itself starved hears late; it is more patient with others.
		const isLate = now - tickedAt > intervalMs / 2;
		slowness = Math.max(0, Math.min(maxSlowness, isLate ? slowness + 1 : slowness - (0.5 * (now - tickedAt) / intervalMs)));
		tickedAt = now;
	}

	function answer(message: MemberMessage, from: HostId, now: Milliseconds): OutMessage[] {
		switch (message.kind) {
			case 'ping': {
				return [reply(from, {kind: 'ack', seq: message.seq}, now)];
			}

			case 'ack': {
				const errand = prober.takeAnswer(message.seq, from);
				return errand ? [reply(errand.requester, {kind: 'ping-reply', seq: errand.requestSeq, target: from}, now)] : [];
			}

			case 'ping-request': {
				const target = records.get(message.target);
				const seq = target && prober.startErrand(from, message.seq, target.id, now);
				return seq === undefined ? [] : [send(target!, {kind: 'ping', seq}, now)];
			}

			case 'ping-reply': {
				prober.takeAnswer(message.seq, message.target);
				return [];
			}

			case 'news': {
				return [];
			}

			case 'zones':
			case 'stamps':
			case 'records': {
				const next = sync.answer(message);
				return next ? [reply(from, next.body, now, next.updates)] : [];
			}
		}
	}

	/** Asks a host whose table has differed for a while where it differs. */
	function compare({digest}: MemberMessage, from: HostId, now: Milliseconds): OutMessage[] {
		return sync.noteDigest(from, digest, now) ? [reply(from, {kind: 'zones', zones: sync.zones()}, now)] : [];
	}

	return {
		tick(now, random) {
			const pausedMs = checkPause(now);
			noteSlowness(now);
			const messages = [
				...(now >= quietUntil ? tell(verdicts.buryDead(now, slowness), now) : []),
				...probe(now, random),
				...greetSeeds(now, random),
			];
			return {messages, pausedMs};
		},
		receive(message, from, now) {
			checkPause(now);
			if (from === ownId) {
				return [];
			}

			const onward = takeUpdates(message.updates, from, now);
			noteHeard(from, now);
			if (message.contacts) {
				contacts.merge(message.contacts, now);
			}

			return [...onward, ...answer(message, from, now), ...compare(message, from, now)];
		},
		state(statement, now) {
			const current = self();
			const isChanged = Object.entries(statement).some(([key, value]) => current[key as keyof OwnStatement] !== value);
			if (!isChanged) {
				return [];
			}

			own.restate(statement, now);
			return flood([self()], ownId, now);
		},
		leave(now) {
			own.restate({life: 'left'}, now);
			return flood([self()], ownId, now);
		},
		addSeeds(addresses) {
			for (const address of addresses) {
				seeds.add(address);
			}
		},
		hosts(now) {
			const stale = verdicts.staleZones(now);
			const staleKey = stale.join(' ');
			if (shown?.version !== records.version() || shown.stale !== staleKey) {
				shown = {version: records.version(), stale: staleKey, hosts: toHosts(records.all(), new Set(stale), shown?.hosts)};
			}

			return shown.hosts;
		},
		self,
		record: records.get,
		spreadTargets: targets.spreadTo,
		entrySeen: own.entrySeen,
		lastHeardAt: () => heardAt,
	};
}
