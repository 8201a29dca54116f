/** Hosts and servers of one pool in virtual time, with overlapping faults of their links. */
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {createPeerLinks} from '../../create-peer-links/index.js';
import {createPoolLinks} from '../index.js';

export type LinkFault = {from: Milliseconds; to: Milliseconds} & (
	/** These hosts reach no server; calls hang or are reset. */
	| {kind: 'hosts-cut'; hosts: readonly number[]; isReset: boolean}
	/** The hosts and servers of a zone reach nothing outside of it, and nothing outside reaches them. */
	| {kind: 'zone-cut'; zone: number}
	/** A server answers nothing for a moment, and its answers come afterwards. */
	| {kind: 'server-silent'; server: number}
	/** A server accepts no connection. */
	| {kind: 'server-lost'; server: number}
	/** No server of the pool accepts a connection. */
	| {kind: 'pool-lost'}
);

export type LinkScenario = {
	hosts: number;
	servers: number;
	zones: number;
	/** Calls of one host in a second. */
	callsPerSecond: number;
	/** Time that a server takes to answer. */
	answerMs: Milliseconds;
	durationMs: Milliseconds;
	faults: readonly LinkFault[];
};

/** State of one host in one step. */
export type HostSample = {
	now: Milliseconds;
	host: number;
	isLost: boolean;
	/** Whether the host reaches at least one server. */
	reachesServers: boolean;
	/** Last time at which a host that this one hears had an answer. */
	othersAnsweredAt: Milliseconds;
	/** Whether the host began a call in this step. */
	hasCalled: boolean;
};

const stepMs: Milliseconds = 10;
const gossipMs: Milliseconds = 200;
const gossipLoss = 0.1;
const callTimeoutMs: Milliseconds = 1000;
const resetMs: Milliseconds = 2;
const probeTimeoutMs: Milliseconds = 300;
const pool = 1;

/**
 * Simulates a scenario.
 *
 * @param scenario - Size of the fleet, its load and its faults.
 * @param random - Random numbers of the simulation.
 * @returns The state of each host in each step.
 */
export function simulateLinks(scenario: LinkScenario, random: Random): readonly HostSample[] {
	const {hosts, servers, zones, callsPerSecond, answerMs, durationMs, faults} = scenario;
	const own = Array.from({length: hosts}, () => createPoolLinks());
	const peers = Array.from({length: hosts}, () => createPeerLinks());
	const due: Array<{at: Milliseconds; run: () => void}> = [];
	const seen: HostSample[] = [];
	let now: Milliseconds = 0;

	const toActive = (): readonly LinkFault[] => faults.filter(({from, to}) => now >= from && now < to);
	const isZoneCut = (zoneA: number, zoneB: number): boolean => zoneA !== zoneB && toActive().some(one => one.kind === 'zone-cut' && (one.zone === zoneA || one.zone === zoneB));

	function toLink(host: number, server: number): 'open' | 'hangs' | 'reset' {
		const active = toActive();
		if (active.some(one => one.kind === 'pool-lost' || (one.kind === 'server-lost' && one.server === server))) {
			return 'reset';
		}

		const cut = active.find(one => one.kind === 'hosts-cut' && one.hosts.includes(host));
		if (cut?.kind === 'hosts-cut') {
			return cut.isReset ? 'reset' : 'hangs';
		}

		return isZoneCut(host % zones, server % zones) ? 'hangs' : 'open';
	}

	const reaches = (host: number): boolean => Array.from({length: servers}, (_, server) => toLink(host, server)).includes('open');
	const hears = (host: number, other: number): boolean => other !== host && !isZoneCut(host % zones, other % zones);

	const after = (ms: Milliseconds, run: () => void) => {
		due.push({at: now + ms, run});
	};

	/** Time until the server's answer, if a silence delays it. */
	function toAnswerMs(server: number): Milliseconds {
		const silence = toActive().find(one => one.kind === 'server-silent' && one.server === server);
		return answerMs + (silence === undefined ? 0 : silence.to - now);
	}

	function startCall(host: number): void {
		const server = Math.floor(random() * servers);
		const call = own[host]!.open(now);
		const link = toLink(host, server);
		if (link === 'reset') {
			after(resetMs, call.fail);
			return;
		}

		after(callTimeoutMs, call.fail);
		if (link === 'open') {
			after(toAnswerMs(server), () => {
				if (toLink(host, server) === 'open') {
					call.answer(now);
				}
			});
		}
	}

	function probe(host: number): void {
		own[host]!.noteProbing();
		const isConnected = reaches(host);
		after(isConnected ? resetMs : probeTimeoutMs, () => {
			own[host]!.noteProbed(isConnected, now);
		});
	}

	function gossip(): void {
		for (let host = 0; host < hosts; host++) {
			const ageMs = now - own[host]!.answeredAt();
			for (let other = 0; other < hosts; other++) {
				if (hears(other, host) && random() >= gossipLoss) {
					peers[other]!.note(String(host), ageMs <= 2000 ? [{pool, ageMs}] : [], now);
				}
			}
		}
	}

	const toOthersAnsweredAt = (host: number): Milliseconds => Math.max(-Infinity, ...own.filter((_, other) => hears(host, other)).map(links => links.answeredAt()));

	function runDue(): void {
		for (const event of due.filter(({at}) => at <= now).toSorted((a, b) => a.at - b.at)) {
			due.splice(due.indexOf(event), 1);
			event.run();
		}
	}

	for (; now < durationMs; now += stepMs) {
		runDue();
		if (now % gossipMs === 0) {
			gossip();
		}

		for (let host = 0; host < hosts; host++) {
			const links = own[host]!;
			const isLost = links.state() === 'lost';
			const hasCalled = !isLost && random() < callsPerSecond * stepMs / 1000;
			if (hasCalled) {
				startCall(host);
			}

			if (links.isProbeDue(peers[host]!.toAnsweredAt(pool), now)) {
				probe(host);
			}

			seen.push({
				now, host, isLost, hasCalled, reachesServers: reaches(host), othersAnsweredAt: toOthersAnsweredAt(host),
			});
		}
	}

	return seen;
}
