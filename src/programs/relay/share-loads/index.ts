/**
 * Exchanges loads and crash reports with other hosts: the requests that each host
 * has in flight at the servers, and the requests during which servers crashed. What
 * hosts keep together, such as the origins of streams, uses the same socket.
 * Without the exchange, hosts queue prompts behind each other's unseen ones, and
 * each host has to find out for itself which request crashes servers.
 */
import {openLoadDatagrams, type LoadDatagrams} from '../../../adapters/load-datagrams/index.js';
import {type Log} from '../../../adapters/log/index.js';
import {createCatchUp, type Answerer, type CatchUp} from '../../../domain/create-catch-up/index.js';
import {createPeerList} from '../../../domain/create-peer-list/index.js';
import {type OrderAuthority} from '../../../domain/create-order-authority/index.js';
import {createServerPlaces, type ServerPlaces} from '../../../domain/create-server-places/index.js';
import {createSharedLoads, type SharedLoads} from '../../../domain/create-shared-loads/index.js';
import {createStreamOrigins, type StreamOriginsTable} from '../../../domain/create-stream-origins/index.js';
import {createWorkspaceQuotas, type WorkspaceQuotas} from '../../../domain/create-workspace-quotas/index.js';
import {type PartQuarantine} from '../../../domain/create-part-quarantine/index.js';
import {type RequestLimits} from '../../../domain/create-request-limits/index.js';
import {type CrashSuspects} from '../../../domain/create-crash-suspects/index.js';
import {type CatchUpNote, type Knowledge} from '../../../ports/catch-up.js';
import {type Clock, type Milliseconds} from '../../../ports/clock.js';
import {type CrashReport} from '../../../ports/crash-reports.js';
import {
	type HostId, type Incarnation, type ZoneId,
} from '../../../ports/ids.js';
import {
	type HostLoad, type LoadMessage, type NamedPeer, type PoolAnswer,
} from '../../../ports/shared-loads.js';
import {msPerSecond} from '../../../ports/units.js';
import {mergeCrashReports} from '../../entry/_lib/quarantine.js';
import {logLimit} from '../../entry/server-limits/index.js';
import {createCatchUpAnswers} from './_lib/create-catch-up-answers.js';
import {createCrashReporter} from './_lib/create-crash-reporter.js';
import {createFaultLog} from './_lib/create-fault-log.js';
import {
	createRounds, keepAliveMs, roundMs, type OutgoingMessage,
} from './_lib/create-rounds.js';
import {createStartWatch} from './_lib/create-start-watch.js';
import {logCaughtUp} from './_lib/log-caught-up.js';

export type ShareLoadsOptions = {
	/** `IP:port` of this host for its peers. */
	address: string;
	seeds: readonly string[];
	host: HostId;
	zone: ZoneId;
	incarnation: Incarnation;
	clock: Clock;
	log: Log;
	/** Requests suspected of crashing servers. */
	suspects: CrashSuspects;
	/** Parts of prompts suspected of crashing servers. */
	partQuarantine: PartQuarantine;
	/** Limits that servers state; hosts that are not given any tell none. */
	limits?: RequestLimits;
	/** Pools whose servers answered this host lately. */
	toAnswers?: (now: Milliseconds) => readonly PoolAnswer[];
	/** Called for what another host tells of the pools whose servers answered it. */
	onAnswers?: (from: string, answers: readonly PoolAnswer[]) => void;
	/** Which host gives orders to servers; hosts that are not given it tell no claims. */
	orderAuthority?: Pick<OrderAuthority, 'noteClaim' | 'toClaim'>;
	/** Opens the transport to other hosts; UDP by default. */
	open?: typeof openLoadDatagrams;
};

export type LoadExchange = Pick<SharedLoads, 'read' | 'isZoneSilent'> & {
	/** Limits of workspaces, which the hosts keep together. */
	quotas: WorkspaceQuotas;
	/** Places at servers that report no load, which the hosts count together. */
	places: ServerPlaces;
	/** Origins of streams, which the hosts keep together. */
	origins: StreamOriginsTable;
	/** Whether this host knows what the others know, as far as that is needed to serve callers. */
	catchUp: CatchUp;
	/** Whether this host is the first for a key among the hosts that it knows. */
	isFirstFor: (key: string) => boolean;
	/** Whether hosts of other zones were heard before and none is heard now. */
	isIsolated: () => boolean;
	/** Whether this host may miss what others tell: it hears no other host, or none of another zone, though there are some. */
	isOutOfTouch: () => boolean;
	/** Number of hosts known to be alive, including this one; `undefined` until another host has been heard. */
	countHosts: () => number | undefined;
	/** Number of hosts among which a fleet-wide budget is divided; also `undefined` while more hosts are being discovered after the start. */
	countSharers: () => number | undefined;
	/** Sends changes to peers; called many times a second. */
	tick: (loads: readonly HostLoad[]) => void;
	close: () => Promise<void>;
};

/** A host's loads expire after this many of its messages are due. */
const maxMissedMessages = 3;

/**
 * Starts the exchange of loads and crash reports.
 *
 * @param options - See {@link ShareLoadsOptions}.
 * @returns The running exchange.
 */
export async function shareLoads(options: ShareLoadsOptions): Promise<LoadExchange> {
	const {
		address, seeds, host, zone, incarnation, clock, log, suspects, partQuarantine, limits, toAnswers, onAnswers, orderAuthority, open = openLoadDatagrams,
	} = options;
	const peers = createPeerList({self: address, zone, seeds});
	const shared = createSharedLoads({toMaxAgeMs: now => maxMissedMessages * (peers.isLarge(now) ? roundMs : keepAliveMs)});
	const hasOtherSeeds = seeds.some(seed => seed !== address);
	let sequence = 0;

	const quotas = createWorkspaceQuotas({
		self: address,
		startedAt: clock.now(),
		peers,
		send(message, to) {
			socket.sendQuota(message, to);
		},
	});
	const places = createServerPlaces({
		self: address,
		rankKeepers: peers.rankKeepers,
		send(message, to) {
			socket.sendPlace(message, to);
		},
	});
	const origins = createStreamOrigins({
		pickKeepers: peers.recordKeepers,
		send(message, to) {
			socket.sendOrigin(message, to);
		},
	});
	const catchUp = createCatchUp({
		zone,
		startedAt: clock.now(),
		toPeers: (cause, now) => peers.likelyPeers(now, {isOtherZoneFirst: cause === 'isolation'}),
		ask(id, to) {
			send({loads: [], crashes: [], catchUp: {kind: 'ask', id}}, to);
		},
		onEnd(ended) {
			logCaughtUp(log, ended);
		},
	});
	/** Whether nothing was heard lately of what happens elsewhere. */
	const isCutOff = (now: Milliseconds): boolean => peers.isAlone(now) || shared.isIsolated(zone, now);
	const toKnowledge = (now: Milliseconds): Knowledge => {
		const knowledge = catchUp.toKnowledge(now);
		return knowledge === 'current' && isCutOff(now) ? 'behind' : knowledge;
	};

	const toAnswer = createCatchUpAnswers({suspects, partSuspects: partQuarantine.suspects, toKnowledge});
	const hasStarted = createStartWatch();
	const reporters = [
		createCrashReporter({suspects, peers, send}),
		createCrashReporter({
			suspects: partQuarantine.suspects,
			hasManySuspects: true,
			peers,
			send({loads, crashes}, to) {
				send({loads, crashes: [], partCrashes: crashes}, to);
			},
		}),
	] as const;
	const socket: LoadDatagrams = await open({
		address,
		onFault: createFaultLog(options),
		onQuota(message, from) {
			quotas.receive(message, from, clock.now());
		},
		onPlace(message, from) {
			places.receive(message, from, clock.now());
		},
		onOrigin(message, from) {
			origins.receive(message, from, clock.now());
		},
		onMessage(message, from) {
			const now = clock.now();
			if (message.host === host) {
				return;
			}

			const wasCutOff = isCutOff(now) || (catchUp.isToldInPart() && message.zone !== zone);
			if (message.catchUp === undefined) {
				shared.note(message, now);
			} else {
				shared.noteZone(message.zone, now);
			}

			if (peers.noteHeard({address: from, zone: message.zone}, now, message)) {
				log.info('peer heard', {peer: message.host, peerZone: message.zone, peerAddress: from});
			}

			if (hasStarted(from, message.incarnation)) {
				origins.noteStarted(from, now);
			}

			for (const reporter of reporters) {
				reporter.noteHeard(from, message.incarnation, now);
			}

			onAnswers?.(from, message.answers ?? []);
			if (message.orderClaim !== undefined) {
				orderAuthority?.noteClaim(message.orderClaim, now);
			}

			for (const server of limits?.merge(message.limits ?? [], now) ?? []) {
				logLimit(log, server, limits?.toPerSecond(server, now));
			}

			peers.noteAdvertised(message.peers, now);
			if (wasCutOff && !isCutOff(now)) {
				catchUp.begin('isolation', now);
			}

			mergeCrashReports({crashes: message.crashes, partCrashes: message.partCrashes ?? []}, {
				suspects, partQuarantine, now, log, peer: message.host,
			});
			handleCatchUp(message.catchUp, {address: from, zone: message.zone}, now);
		},
	});

	function toMessage({
		loads, crashes, partCrashes = [], named = [], isAsking = false, catchUp: note,
	}: OutgoingMessage): LoadMessage {
		const now = clock.now();
		const answers = toAnswers?.(now);
		const stated = limits?.toShared(now) ?? [];
		const orderClaim = named.length === 0 ? undefined : orderAuthority?.toClaim(now);
		sequence++;
		return {
			host, zone, incarnation, sequence, loads, crashes, peers: named, isAsking, reachedShare: peers.toOwnReachedShare(now), ...(answers && {answers}), ...(stated.length > 0 && {limits: stated}), ...(partCrashes.length > 0 && {partCrashes}), ...(note && {catchUp: note}), ...(orderClaim && {orderClaim}),
		};
	}

	function send(message: OutgoingMessage, to: readonly string[]): void {
		if (to.length > 0) {
			socket.send(toMessage(message), to);
		}
	}

	/** Answers a question of a host that starts or comes back, or records what one was answered. Its reports are merged before. */
	function handleCatchUp(note: CatchUpNote | undefined, from: Answerer, now: Milliseconds): void {
		if (note?.kind === 'answer') {
			catchUp.noteAnswer(from, note, now);
		}

		if (note?.kind === 'ask') {
			const named = peers.takeAdvertised(now);
			for (const message of toAnswer(note.id, content => toMessage({...content, loads: [], named}), now)) {
				socket.send(message, [from.address]);
			}
		}
	}

	const rounds = createRounds({peers, reporters, send});

	catchUp.begin('start', clock.now());
	return {
		catchUp,
		read: shared.read,
		isZoneSilent: shared.isZoneSilent,
		quotas,
		places,
		origins,
		isFirstFor: peers.isFirstFor,
		isIsolated: () => shared.isIsolated(zone, clock.now()),
		isOutOfTouch: () => (hasOtherSeeds || peers.count() !== undefined) && isCutOff(clock.now()),
		countHosts: peers.count,
		countSharers: () => peers.isSettled(clock.now()) ? peers.count() : undefined,
		tick(loads) {
			const now = clock.now();
			catchUp.tick(now);
			rounds.tick(loads, now);
		},
		close: socket.close,
	};
}
