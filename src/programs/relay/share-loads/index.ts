/**
 * Tells other hosts what this one has under way at the servers, and hears the
 * same of them. Without it, hosts send prompts behind each other's unseen ones.
 */
import {openLoadDatagrams, type LoadDatagrams} from '../../../adapters/load-datagrams/index.js';
import {type Log} from '../../../adapters/log/index.js';
import {createPeerList} from '../../../domain/create-peer-list/index.js';
import {createSharedLoads, type SharedLoads} from '../../../domain/create-shared-loads/index.js';
import {type Clock, type Milliseconds} from '../../../ports/clock.js';
import {
	type HostId, type Incarnation, type ZoneId,
} from '../../../ports/ids.js';
import {type HostLoad, type NamedPeer} from '../../../ports/shared-loads.js';
import {msPerSecond} from '../../../ports/units.js';

export type ShareLoadsOptions = {
	/** `IP:port` of this host for its peers. */
	address: string;
	seeds: readonly string[];
	host: HostId;
	zone: ZoneId;
	incarnation: Incarnation;
	clock: Clock;
	log: Log;
	/** Opens the way to other hosts; UDP by default. */
	open?: typeof openLoadDatagrams;
};

export type RunningLoadSharing = Pick<SharedLoads, 'read' | 'isZoneSilent'> & {
	/** Whether hosts of other zones were heard before, and none is any more. */
	isIsolated: () => boolean;
	/** Hosts that are known to live, with this one; `undefined` while none was ever heard. */
	countHosts: () => number | undefined;
	/** Sends what has changed; the program calls it many times a second. */
	tick: (loads: readonly HostLoad[]) => void;
	close: () => Promise<void>;
};

/** A host that has nothing new to tell speaks this often all the same, so that its last word still counts. */
const repeatMs: Milliseconds = 500;

/** Hosts are named to others this often, and seeds greeted that are not known to live; in a large fleet nothing else is said. */
const roundMs: Milliseconds = msPerSecond;

/** A host's word counts until it should have spoken so many times again. */
const spokenTimes = 3;

/** Faulty datagrams are counted, and told of this often at most. */
const faultLineMs: Milliseconds = 10 * msPerSecond;

const toText = (loads: readonly HostLoad[]): string => loads.map(({server, requests, promptTokens}) => `${server} ${requests} ${promptTokens}`).join(',');

function createFaultLog({clock, log}: Pick<ShareLoadsOptions, 'clock' | 'log'>): (reason: string) => void {
	let count = 0;
	let toldAt: Milliseconds | undefined;
	return reason => {
		count++;
		const now = clock.now();
		if (toldAt === undefined || now - toldAt >= faultLineMs) {
			log.warn('message of a peer lost or not understood', {count, reason});
			toldAt = now;
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
export async function shareLoads(options: ShareLoadsOptions): Promise<RunningLoadSharing> {
	const {
		address, seeds, host, zone, incarnation, clock, log, open = openLoadDatagrams,
	} = options;
	const peers = createPeerList({self: address, zone, seeds});
	const shared = createSharedLoads({toMaxAgeMs: now => spokenTimes * (peers.isLarge(now) ? roundMs : repeatMs)});
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

			peers.noteNamed(message.peers, now);
		},
	});

	function send({loads, named = [], isAsking = false}: {loads: readonly HostLoad[]; named?: readonly NamedPeer[]; isAsking?: boolean}, to: readonly string[]): void {
		if (to.length === 0) {
			return;
		}

		sequence++;
		socket.send({
			host, zone, incarnation, sequence, loads, peers: named, isAsking,
		}, to);
	}

	/**
	 * Whether there is something to tell before the next round. Not where there are
	 * more hosts than one can tell all of: its own requests are a small part of the
	 * load there, and each message costs both ends about a tenth of a millisecond.
	 */
	function isDue(text: string, now: Milliseconds): boolean {
		return !peers.isLarge(now) && (text !== lastText || now - sentAt >= repeatMs);
	}

	function tell(loads: readonly HostLoad[], now: Milliseconds): void {
		const text = toText(loads);
		const unanswered = peers.takeUnanswered();
		if (now - roundAt >= roundMs) {
			roundAt = now;
			const named = peers.toName(now);
			const asked = new Set([...peers.near(now), ...peers.far(now), ...peers.toGreet(now)]);
			send({loads, named, isAsking: true}, [...asked]);
			send({loads, named}, [...new Set([...peers.askers(now), ...unanswered])].filter(address => !asked.has(address)));
		} else {
			send({loads, named: unanswered.length > 0 ? peers.toName(now) : []}, unanswered);
			if (!isDue(text, now)) {
				return;
			}

			send({loads}, peers.near(now));
		}

		lastText = text;
		sentAt = now;
	}

	return {
		read: shared.read,
		isZoneSilent: shared.isZoneSilent,
		isIsolated: () => shared.isIsolated(zone, clock.now()),
		countHosts: peers.count,
		tick(loads) {
			tell(loads, clock.now());
		},
		close: socket.close,
	};
}
