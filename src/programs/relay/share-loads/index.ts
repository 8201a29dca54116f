/**
 * Tells other hosts what this one has under way at the servers, and of requests
 * under which servers ended, and hears the same of them. Without it, hosts send
 * prompts behind each other's unseen ones, and each finds out for itself which
 * request crashes servers.
 */
import {openLoadDatagrams, type LoadDatagrams} from '../../../adapters/load-datagrams/index.js';
import {type Log} from '../../../adapters/log/index.js';
import {createPeerList} from '../../../domain/create-peer-list/index.js';
import {createSharedLoads, type SharedLoads} from '../../../domain/create-shared-loads/index.js';
import {type CrashSuspects} from '../../../domain/create-crash-suspects/index.js';
import {type Clock, type Milliseconds} from '../../../ports/clock.js';
import {type CrashReport} from '../../../ports/crash-reports.js';
import {
	type HostId, type Incarnation, type ZoneId,
} from '../../../ports/ids.js';
import {type HostLoad, type NamedPeer} from '../../../ports/shared-loads.js';
import {msPerSecond} from '../../../ports/units.js';
import {logQuarantined} from '../../entry/_lib/quarantine.js';

export type ShareLoadsOptions = {
	/** `IP:port` of this host for its peers. */
	address: string;
	seeds: readonly string[];
	host: HostId;
	zone: ZoneId;
	incarnation: Incarnation;
	clock: Clock;
	log: Log;
	/** What is known of requests under which servers ended. */
	suspects: CrashSuspects;
	/** Opens the way to other hosts; UDP by default. */
	open?: typeof openLoadDatagrams;
};

export type LoadExchange = Pick<SharedLoads, 'read' | 'isZoneSilent'> & {
	/** Whether hosts of other zones were heard before, and none is any more. */
	isIsolated: () => boolean;
	/** Hosts that are known to live, with this one; `undefined` while none was ever heard. */
	countHosts: () => number | undefined;
	/** The same, for dividing what all hosts share: `undefined` also while further ones turn up after the start. */
	countSharers: () => number | undefined;
	/** Sends what has changed; the program calls it many times a second. */
	tick: (loads: readonly HostLoad[]) => void;
	close: () => Promise<void>;
};

/** A host that has nothing new to tell speaks this often all the same, so that its last word still counts. */
const keepAliveMs: Milliseconds = 500;

/** Hosts are named to others this often, and seeds greeted that are not known to live; in a large fleet nothing else is said. */
const roundMs: Milliseconds = msPerSecond;

/** A host's word counts until it should have spoken so many times again. */
const maxMissedMessages = 3;

/** Reports of crashes in a message that tells of them at once; most are of one crash and take some 50 bytes. */
const maxReports = 16;

/** Reports in each message of a round, of which a host of a large fleet sends some twenty a second. */
const maxReportsPerRound = 5;

/**
 * Crashes of a request that all hosts of a large fleet are told of. The first one
 * of each, most of them victims, goes to the few that collect what is known of it.
 */
const minCrashesToBroadcast = 2;

/** Faulty datagrams are counted, and told of this often at most. */
const faultLogIntervalMs: Milliseconds = 10 * msPerSecond;

const toLoadsText = (loads: readonly HostLoad[]): string => loads.map(({server, requests, promptTokens}) => `${server} ${requests} ${promptTokens}`).join(',');

function createFaultLog({clock, log}: Pick<ShareLoadsOptions, 'clock' | 'log'>): (reason: string) => void {
	let count = 0;
	let loggedAt: Milliseconds | undefined;
	return reason => {
		count++;
		const now = clock.now();
		if (loggedAt === undefined || now - loggedAt >= faultLogIntervalMs) {
			log.warn('message of a peer lost or not understood', {count, reason});
			loggedAt = now;
			count = 0;
		}
	};
}

/**
 * Starts to talk.
 *
 * @param options - This host, and where others may be.
 * @returns What is heard, and the function that tells.
 */
export async function shareLoads(options: ShareLoadsOptions): Promise<LoadExchange> {
	const {
		address, seeds, host, zone, incarnation, clock, log, suspects, open = openLoadDatagrams,
	} = options;
	const peers = createPeerList({self: address, zone, seeds});
	const shared = createSharedLoads({toMaxAgeMs: now => maxMissedMessages * (peers.isLarge(now) ? roundMs : keepAliveMs)});
	let sequence = 0;
	let lastText = '';
	let sentAt: Milliseconds = -Infinity;
	let roundAt: Milliseconds = -Infinity;

	const socket: LoadDatagrams = await open({
		address,
		onFault: createFaultLog(options),
		onMessage(message, from) {
			const now = clock.now();
			if (message.host === host) {
				return;
			}

			shared.note(message, now);
			if (peers.noteHeard({address: from, zone: message.zone}, now, message)) {
				log.info('peer heard', {peer: message.host, peerZone: message.zone, peerAddress: from});
			}

			peers.noteAdvertised(message.peers, now);
			for (const fingerprint of suspects.mergeReports(message.crashes, now)) {
				logQuarantined(log, suspects, {fingerprint, now, peer: message.host});
			}
		},
	});

	type OutgoingMessage = {loads: readonly HostLoad[]; crashes: readonly CrashReport[]; named?: readonly NamedPeer[]; isAsking?: boolean};

	function send({
		loads, crashes, named = [], isAsking = false,
	}: OutgoingMessage, to: readonly string[]): void {
		if (to.length === 0) {
			return;
		}

		sequence++;
		socket.send({
			host, zone, incarnation, sequence, loads, crashes, peers: named, isAsking,
		}, to);
	}

	/**
	 * Whether there is something to tell before the next round. Not where there are
	 * more hosts than one can tell all of: its own requests are a small part of the
	 * load there, and each message costs both ends about a tenth of a millisecond.
	 */
	function isDue(text: string, now: Milliseconds): boolean {
		return !peers.isLarge(now) && (text !== lastText || now - sentAt >= keepAliveMs);
	}

	/** Crashes that all hosts are told of; the others are for collectors. */
	const toMinCrashes = (now: Milliseconds): number => peers.isLarge(now) ? minCrashesToBroadcast : 1;

	function sendToCollectors(loads: readonly HostLoad[], reports: readonly CrashReport[]): void {
		const byCollector = new Map<string, CrashReport[]>();
		for (const report of reports) {
			for (const collector of peers.collectors(report.fingerprint)) {
				byCollector.set(collector, [...byCollector.get(collector) ?? [], report]);
			}
		}

		for (const [collector, crashes] of byCollector) {
			send({loads, crashes}, [collector]);
		}
	}

	/** A request that crashes servers may be anywhere the next moment: each host that hears of it hands it on. */
	function sendCrashReports(loads: readonly HostLoad[], now: Milliseconds): void {
		const changed = suspects.takeChanged(now, maxReports);
		const leastCrashes = toMinCrashes(now);
		const crashes = changed.filter(report => report.crashes.length >= leastCrashes);
		if (crashes.length > 0) {
			send({loads, crashes}, [...peers.directPeers(now), ...peers.remotePeers(now)]);
		}

		sendToCollectors(loads, changed.filter(report => report.crashes.length < leastCrashes));
	}

	const toRoundReports = (now: Milliseconds): readonly CrashReport[] => suspects.toReports(now, {leastFresh: toMinCrashes(now), limit: maxReportsPerRound});

	function sendUpdates(loads: readonly HostLoad[], now: Milliseconds): void {
		const text = toLoadsText(loads);
		const unanswered = peers.takeUnanswered();
		sendCrashReports(loads, now);
		if (now - roundAt >= roundMs) {
			roundAt = now;
			const named = peers.takeAdvertised(now);
			const crashes = toRoundReports(now);
			const asked = new Set([...peers.directPeers(now), ...peers.remotePeers(now), ...peers.silentSeeds(now)]);
			send({
				loads, crashes, named, isAsking: true,
			}, [...asked]);
			send({loads, crashes, named}, [...new Set([...peers.remoteRequesters(now), ...unanswered])].filter(address => !asked.has(address)));
		} else {
			if (unanswered.length > 0) {
				send({loads, crashes: toRoundReports(now), named: peers.takeAdvertised(now)}, unanswered);
			}

			if (!isDue(text, now)) {
				return;
			}

			send({loads, crashes: []}, peers.directPeers(now));
		}

		lastText = text;
		sentAt = now;
	}

	return {
		read: shared.read,
		isZoneSilent: shared.isZoneSilent,
		isIsolated: () => shared.isIsolated(zone, clock.now()),
		countHosts: peers.count,
		countSharers: () => peers.isSettled(clock.now()) ? peers.count() : undefined,
		tick(loads) {
			sendUpdates(loads, clock.now());
		},
		close: socket.close,
	};
}
