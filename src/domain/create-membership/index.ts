/**
 * Membership between agents: which hosts are alive, suspected or dead, by gossip
 * and probes. `docs/design/006-membership.md` gives the reasons for the design.
 *
 * This module does no I/O: {@link Membership.tick} is called about ten times
 * a second, {@link Membership.receive} for each message, and both return the
 * messages to send.
 */
import {type Milliseconds, type Random} from '../../ports/clock.js';
import {type HostId, type Incarnation, type ZoneId} from '../../ports/ids.js';
import {type HostStatus} from '../../ports/view.js';
import {createPauseGuard} from '../create-pause-guard/index.js';
import {createResponder} from './_lib/create-responder.js';
import {createUpdateMerger} from './_lib/create-update-merger.js';
import {createMessages} from './_lib/create-messages.js';
import {createOwnRecord} from './_lib/create-own-record.js';
import {createProber} from './_lib/create-prober.js';
import {createRecords} from './_lib/create-records.js';
import {createSync} from './_lib/create-sync.js';
import {createTargets} from './_lib/create-targets.js';
import {createFailureDetector} from './_lib/create-failure-detector.js';
import {createZoneContactTimes} from './_lib/create-zone-contact-times.js';
import {type Membership, type MembershipOptions, type OwnStatement} from './_lib/membership-types.js';
import {toHosts} from './_lib/to-hosts.js';
import {type OutMessage} from './_lib/types.js';

export {type HostRecord, type MemberMessage, type OutMessage} from './_lib/types.js';
export {type Membership, type MembershipOptions, type OwnStatement} from './_lib/membership-types.js';

const helpersPerProbe = 2;

/** Share of the probe timeout after which other hosts are asked for indirect pings. */
const directShare = 0.4;

/** Number of sends of a change beyond the logarithm of the number of hosts; the comparison of tables finds records that gossip still misses. */
const extraRetransmits = 1;
const maxSlowness = 4;

/** Timeouts in heartbeat intervals, so that one setting scales them all. */
const probeIntervals = 1;
const suspicionIntervals = 3;
const pauseIntervals = 2;

/** Zones are contacted every third interval, and the contact takes a few more intervals to be known in a large zone. */
const zoneTimeoutIntervals = 12;

/** Live twins raise their incarnations above each other within a few intervals. */
const twinIntervals = 30;

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
	const records = createRecords({spreadCount: hosts => extraRetransmits + Math.ceil(Math.log2(hosts + 1))});
	const prober = createProber();
	const guard = createPauseGuard({limitMs: pauseIntervals * intervalMs, startedAt: options.startedAt});
	const contacts = createZoneContactTimes();
	const sync = createSync({records, ownId, minGapMs: intervalMs});
	const targets = createTargets({
		records, ownId, ownZone, intervalMs, startedAt: options.startedAt,
	});
	const failureDetector = createFailureDetector({
		records, targets, contacts, ownId, ownZone, suspicionMs, zoneTimeoutMs: zoneTimeoutIntervals * intervalMs,
	});
	const seeds = new Set(options.seeds);
	const own = createOwnRecord({records, options});
	const messages = createMessages({
		records, own, contacts, targets, ownZone,
	});
	const updateMerger = createUpdateMerger({
		records, own, targets, failureDetector, messages,
	});
	const {answer, compare} = createResponder({
		records, prober, sync, messages,
	});
	let heardAt: Milliseconds | undefined;
	let noSuspicionUntil = options.startedAt;
	let slowness = 0;
	let tickedAt = options.startedAt;
	let cachedView: {version: number; stale: string; hosts: ReadonlyMap<HostId, HostStatus>} | undefined;

	const {self} = own;
	const {send, flood} = messages;

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

	function ping(id: HostId, now: Milliseconds): OutMessage[] {
		const target = records.get(id);
		const seq = target && prober.start(id, now);
		return seq === undefined ? [] : [send(target!, {kind: 'ping', seq}, now)];
	}

	function requestIndirectPings(target: HostId, seq: number, now: Milliseconds, random: Random): OutMessage[] {
		const helpers = failureDetector.reachableObservers(target, now).filter(({id}) => id !== ownId);
		return targets.sample(helpers, helpersPerProbe, random).map(helper => send(helper, {kind: 'ping-request', seq, target}, now));
	}

	function probe(now: Milliseconds, random: Random): OutMessage[] {
		const factor = 1 + slowness;
		const {unanswered, failed} = prober.takeDue(now, {
			directMs: directShare * probeMs * factor, totalMs: probeMs * factor,
		});
		return [
			...(now >= noSuspicionUntil ? flood(failureDetector.suspect(failed, now), ownId, now) : []),
			...unanswered.flatMap(({target, seq}) => requestIndirectPings(target, seq, now, random)),
			...targets.takeDue(now, random).flatMap(id => ping(id, now)),
		];
	}

	function contactSeeds(now: Milliseconds, random: Random): OutMessage[] {
		return targets.takeSeeds(seeds, now, random)
			.map(address => messages.sendToAddress(address, {kind: 'zones', zones: sync.zones()}, now));
	}

	/** Detects a pause of this process before it acts on its timeouts or sends anything. */
	function checkPause(now: Milliseconds): Milliseconds {
		const pausedMs = guard.note(now);
		if (pausedMs > 0) {
			// Answers that came during the pause are still in the sockets: until they are
			// read, no host may be suspected for a missing answer, and no suspicion may time out.
			prober.clear();
			records.restartSuspicions(now);
			noSuspicionUntil = now + intervalMs;
			contacts.restart(now);
		}

		return pausedMs;
	}

	function noteSlowness(now: Milliseconds) {
		// A process that is itself starved reads answers late, so its timeouts are lengthened.
		const isLate = now - tickedAt > intervalMs / 2;
		slowness = Math.max(0, Math.min(maxSlowness, isLate ? slowness + 1 : slowness - (0.5 * (now - tickedAt) / intervalMs)));
		tickedAt = now;
	}

	return {
		tick(now, random) {
			const pausedMs = checkPause(now);
			noteSlowness(now);
			const due = [
				...(now >= noSuspicionUntil ? flood(failureDetector.declareDead(now, slowness), ownId, now) : []),
				...probe(now, random),
				...contactSeeds(now, random),
			];
			return {messages: due, pausedMs};
		},
		receive(message, from, now) {
			checkPause(now);
			if (from === ownId) {
				return [];
			}

			const onward = updateMerger.take(message.updates, from, now);
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

			own.revise(statement, now);
			return flood([self()], ownId, now);
		},
		leave(now) {
			own.revise({life: 'left'}, now);
			return flood([self()], ownId, now);
		},
		addSeeds(addresses) {
			for (const address of addresses) {
				seeds.add(address);
			}
		},
		hosts(now) {
			const stale = failureDetector.staleZones(now);
			const staleKey = stale.join(' ');
			if (cachedView?.version !== records.version() || cachedView.stale !== staleKey) {
				cachedView = {version: records.version(), stale: staleKey, hosts: toHosts(records.all(), new Set(stale), cachedView?.hosts)};
			}

			return cachedView.hosts;
		},
		self,
		record: records.get,
		spreadTargets: targets.spreadTo,
		entrySeen: own.entrySeen,
		twin: now => own.twin(now, twinIntervals * intervalMs),
		lastHeardAt: () => heardAt,
	};
}
