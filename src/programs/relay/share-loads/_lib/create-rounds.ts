/** Decides which messages a host sends to its peers, and when. */
import {type PeerList} from '../../../../domain/create-peer-list/index.js';
import {type CatchUpNote} from '../../../../ports/catch-up.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type CrashReport} from '../../../../ports/crash-reports.js';
import {type HostLoad, type NamedPeer} from '../../../../ports/shared-loads.js';
import {msPerSecond} from '../../../../ports/units.js';
import {type CrashReporter} from './create-crash-reporter.js';

/** Interval at which a host without changes repeats its loads, so that they don't expire at its peers. */
export const keepAliveMs: Milliseconds = 500;

/** Interval of the rounds, in which known hosts are advertised and silent seeds are contacted. In a large fleet, loads are sent in rounds only. */
export const roundMs: Milliseconds = msPerSecond;

/** Content of a message besides what every message has. */
export type OutgoingMessage = {
	loads: readonly HostLoad[];
	crashes: readonly CrashReport[];
	partCrashes?: readonly CrashReport[];
	named?: readonly NamedPeer[];
	isAsking?: boolean;
	catchUp?: CatchUpNote;
};

export type RoundsOptions = {
	peers: PeerList;
	/** Reporters of crashes by request, and by part of a prompt. */
	reporters: readonly [requests: CrashReporter, parts: CrashReporter];
	/** Sends a message to each address. */
	send: (message: OutgoingMessage, to: readonly string[]) => void;
};

const toLoadsText = (loads: readonly HostLoad[]): string => loads.map(({server, requests, promptTokens}) => `${server} ${requests} ${promptTokens}`).join(',');

/**
 * Creates the messages of one host.
 *
 * @param options - See {@link RoundsOptions}.
 * @returns A function that sends what is due, called many times a second with the loads of this host.
 */
export function createRounds({peers, reporters, send}: RoundsOptions): {tick: (loads: readonly HostLoad[], now: Milliseconds) => void} {
	let lastText = '';
	let sentAt: Milliseconds = -Infinity;
	let roundAt: Milliseconds = -Infinity;

	/**
	 * Whether to send loads before the next round. Never in a fleet with more hosts
	 * than one host can send to: there its own requests are a small part of the load,
	 * and each message costs both ends about a tenth of a millisecond.
	 */
	function isDue(text: string, now: Milliseconds): boolean {
		return !peers.isLarge(now) && (text !== lastText || now - sentAt >= keepAliveMs);
	}

	function toRoundReports(now: Milliseconds): Pick<OutgoingMessage, 'crashes' | 'partCrashes'> {
		const [requests, parts] = reporters;
		return {crashes: requests.toRoundReports(now), partCrashes: parts.toRoundReports(now)};
	}

	/** Sends the messages of a round: some hosts are asked for a message in return, others are told as they asked or are new. */
	function sendRound(loads: readonly HostLoad[], unanswered: readonly string[], now: Milliseconds): void {
		for (const reporter of reporters) {
			reporter.sendKnown(loads, now);
		}

		const content = {loads, ...toRoundReports(now), named: peers.takeAdvertised(now)};
		const asked = new Set([...peers.directPeers(now), ...peers.remotePeers(now), ...peers.silentSeeds(now)]);
		const told = new Set([...peers.remoteRequesters(now), ...unanswered]);
		send({...content, isAsking: true}, [...asked]);
		send(content, [...told].filter(address => !asked.has(address)));
	}

	function noteSent(text: string, now: Milliseconds): void {
		lastText = text;
		sentAt = now;
	}

	return {
		tick(loads, now) {
			const text = toLoadsText(loads);
			const unanswered = peers.takeUnanswered();
			for (const reporter of reporters) {
				reporter.sendChanged(loads, now);
			}

			if (now - roundAt >= roundMs) {
				roundAt = now;
				sendRound(loads, unanswered, now);
				noteSent(text, now);
				return;
			}

			if (unanswered.length > 0) {
				send({loads, ...toRoundReports(now), named: peers.takeAdvertised(now)}, unanswered);
			}

			if (isDue(text, now)) {
				send({loads, crashes: []}, peers.directPeers(now));
				noteSent(text, now);
			}
		},
	};
}
