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
import {type HostLoad} from '../../../ports/shared-loads.js';
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
};

export type RunningLoadSharing = Pick<SharedLoads, 'read' | 'isZoneSilent'> & {
	/** Whether hosts of other zones were heard before, and none is any more. */
	isIsolated: () => boolean;
	/** Sends what has changed; the program calls it many times a second. */
	tick: (loads: readonly HostLoad[]) => void;
	close: () => Promise<void>;
};

/** A host that has nothing new to tell speaks this often all the same, so that its last word still counts. */
const repeatMs: Milliseconds = 500;

/** Hosts that are not known to live are greeted this often. */
const greetMs: Milliseconds = msPerSecond;

/** Hosts named in a message: a host that starts knows all of a small deployment after its first answer. */
const namedPeers = 8;

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
		address, seeds, host, zone, incarnation, clock, log,
	} = options;
	const shared = createSharedLoads();
	const peers = createPeerList({self: address, zone, seeds});
	let sequence = 0;
	let lastText = '';
	let sentAt: Milliseconds = -Infinity;
	let greetedAt: Milliseconds = -Infinity;

	const socket: LoadDatagrams = await openLoadDatagrams({
		address,
		onFault: createFaultLog(options),
		onMessage(message, from) {
			const now = clock.now();
			if (message.host === host) {
				return;
			}

			shared.note(message, now);
			if (peers.noteHeard(from, message.zone, now)) {
				log.info('peer heard', {peer: message.host, peerZone: message.zone, peerAddress: from});
			}

			peers.noteNamed(message.peers, now);
		},
	});

	function send(loads: readonly HostLoad[], now: Milliseconds, living: readonly string[]): void {
		const isGreeting = now - greetedAt >= greetMs;
		greetedAt = isGreeting ? now : greetedAt;
		sequence++;
		sentAt = now;
		// Another few each time, so that a newcomer hears of all.
		const first = living.length <= namedPeers ? 0 : sequence % living.length;
		const named = [...living, ...living].slice(first, first + Math.min(namedPeers, living.length));
		socket.send({
			host, zone, incarnation, sequence, loads, peers: named,
		}, isGreeting ? [...living, ...peers.toGreet(now)] : living);
	}

	return {
		read: shared.read,
		isZoneSilent: shared.isZoneSilent,
		isIsolated: () => shared.isIsolated(zone, clock.now()),
		tick(loads) {
			const now = clock.now();
			const text = toText(loads);
			if (text !== lastText || now - sentAt >= repeatMs) {
				lastText = text;
				send(loads, now, peers.living(now));
			}
		},
		close: socket.close,
	};
}
