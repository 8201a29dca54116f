/** Requests with parts of prompts to a fleet in virtual time, whose servers end under some of the parts. */
import {type Milliseconds, type Random} from '../../../../ports/clock.js';
import {type PartKey, type ServerId} from '../../../../ports/ids.js';
import {msPerSecond} from '../../../../ports/units.js';
import {type RunEnd} from '../../../../domain/judge-run-end/index.js';
import {noteRunEnd} from '../../../entry/_lib/quarantine.js';
import {type ServeContext} from '../../../entry/_lib/serve-types.js';
import {createTimers} from './create-timers.js';
import {log, type Host, type startHosts} from './start-hosts.js';

export type Fleet = Awaited<ReturnType<typeof startHosts>>;

type Run = {host: Host; parts: readonly PartKey[]; startedAt: Milliseconds; isFatal: boolean};

/** What became of one request. */
export type Sent = {at: Milliseconds; parts: readonly PartKey[]; isFatal: boolean; isRefused: boolean; isReached: boolean};

export type PartTrafficOptions = {
	fleet: Fleet;
	random: Random;
	servers: number;
	/** Whether a server ends that begins to write for these parts. */
	isFatal: (parts: readonly PartKey[]) => boolean;
	/** Decides whether a host sends a request to a server. */
	isAdmitted?: (host: Host, parts: readonly PartKey[], now: Milliseconds) => boolean;
};

/** Time from the start of a run to the end of a server that ends under it. */
const endMs: Milliseconds = 100;

/** Shortest and longest run that its server survives. */
const minRunMs: Milliseconds = msPerSecond;
const maxRunMs: Milliseconds = 5 * msPerSecond;

/** Time after which a server that ended is back under another id. */
const backMs: Milliseconds = 4 * msPerSecond;

const isAdmittedByQuarantine = ({partQuarantine}: Host, parts: readonly PartKey[], now: Milliseconds): boolean => partQuarantine.decide(parts, now).kind !== 'refuse';

/**
 * Creates the traffic.
 *
 * @param options - See {@link PartTrafficOptions}.
 * @returns Functions that send requests, end servers and advance time, and what became of the requests.
 */
export function createPartTraffic({fleet, random, servers, isFatal, isAdmitted = isAdmittedByQuarantine}: PartTrafficOptions) {
	const {after, pass} = createTimers(fleet);
	const running = new Map<ServerId, Set<Run>>();
	const sent: Sent[] = [];
	const endsOfServers: Milliseconds[] = [];
	let started = 0;

	const pick = <T>(of: readonly T[]): T | undefined => of[Math.floor(random() * of.length)];

	function startServer(): void {
		running.set(`i-93770e37${started++}`, new Set());
	}

	for (let n = 0; n < servers; n++) {
		startServer();
	}

	function note({host, parts, startedAt}: Run, server: ServerId, end: RunEnd): void {
		const {suspects, partQuarantine, isDead} = host;
		if (!isDead) {
			noteRunEnd({
				fingerprint: undefined, parts, server, startedAt, end,
			}, {
				suspects, partQuarantine, log, services: {clock: {now: fleet.now}},
			} as unknown as ServeContext);
		}
	}

	function endServer(server: ServerId): void {
		const runs = running.get(server);
		if (runs === undefined) {
			return;
		}

		running.delete(server);
		endsOfServers.push(fleet.now());
		after(backMs, startServer);
		for (const run of runs) {
			note(run, server, {kind: 'closed'});
		}
	}

	function finish(run: Run, server: ServerId): void {
		if (running.get(server)?.delete(run) === true) {
			run.host.suspects.noteAnswered(server, run.startedAt);
			run.host.partQuarantine.suspects.noteAnswered(server, run.startedAt);
			note(run, server, {
				kind: 'answered', status: 200, framing: 'chunks', isRun: true,
			});
		}
	}

	function begin(run: Run, server: ServerId): void {
		running.get(server)!.add(run);
		after(run.isFatal ? endMs : minRunMs + (random() * (maxRunMs - minRunMs)), () => {
			if (run.isFatal) {
				endServer(server);
			} else {
				finish(run, server);
			}
		});
	}

	return {
		sent,
		/** Times at which servers ended. */
		ends: endsOfServers,
		/** Sends a request to a random host that runs. */
		send(parts: readonly PartKey[]): void {
			const host = pick(fleet.hosts.filter(({isDead}) => !isDead))!;
			const now = fleet.now();
			const run = {
				host, parts, startedAt: now, isFatal: isFatal(parts),
			};
			const isRefused = !isAdmitted(host, parts, now);
			const server = isRefused ? undefined : pick([...running.keys()]);
			sent.push({
				at: now, parts, isFatal: run.isFatal, isRefused, isReached: server !== undefined,
			});
			if (server !== undefined) {
				begin(run, server);
			}
		},
		/** Ends a share of the servers at one moment, for another reason than a request. */
		endServers(share: number): void {
			for (const server of [...running.keys()].filter(() => random() < share)) {
				endServer(server);
			}
		},
		pass,
	};
}
