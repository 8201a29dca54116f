/** Requests to a fleet in virtual time, one of which ends the servers that run it. */
import {type RunEnd} from '../../../../domain/judge-run-end/index.js';
import {type Milliseconds, type Random} from '../../../../ports/clock.js';
import {type ServerId} from '../../../../ports/ids.js';
import {msPerSecond} from '../../../../ports/units.js';
import {noteRunEnd} from '../../../entry/_lib/quarantine.js';
import {type ServeContext} from '../../../entry/_lib/serve-types.js';
import {createLostServers} from '../../start-relay/_lib/create-lost-servers.js';
import {createTimers} from './create-timers.js';
import {log, type Host, type startHosts} from './start-hosts.js';

export type Fleet = Awaited<ReturnType<typeof startHosts>>;

type Run = {fingerprint: string; host: Host; startedAt: Milliseconds; isLeft: boolean};

/** How a server ends under the culprit, as the host that called it sees it. */
export type EndWay = {
	name: string;
	/** Time from the start of the run to the end of the server. */
	endMs?: Milliseconds;
	/** Time after which the caller leaves. */
	leaveMs?: Milliseconds;
	/** What the host sees of the culprit's run when its server ends; it sees nothing by default if the caller has left. */
	seen?: RunEnd;
	/** Whether the connections of a server that ended stay open. */
	isDark?: boolean;
	/** Whether the server announces that it leaves when the run starts. */
	isDrained?: boolean;
};

export type EndTrafficOptions = {
	fleet: Fleet;
	random: Random;
	servers: number;
	/** Whether a run of the culprit ends its server. */
	isFatal?: (server: ServerId, run: number) => boolean;
};

export const culprit = 'ends-servers';

/** Time from the start of a harmless run to the head of its answer, and to its end. */
const headMs: Milliseconds = 50;
const runMs: Milliseconds = 300;

const defaultEndMs: Milliseconds = 100;

/** How a server ends for another reason than a request. */
const otherWay: EndWay = {name: 'closes'};

/** Time for which a server that leaves as planned goes on. */
const drainMs: Milliseconds = 2 * msPerSecond;

/** Time from the end of a server to the removal of its entry. */
export const lapseMs: Milliseconds = 3500;

/** Time after which hosts give up a silent server. */
const silentMs: Milliseconds = msPerSecond;

/**
 * Creates the traffic.
 *
 * @param options - See {@link EndTrafficOptions}.
 * @returns Functions that send requests, inject faults and advance time, and what became of the requests.
 */
export function createEndTraffic({fleet, random, servers, isFatal = () => true}: EndTrafficOptions) {
	const {after, pass} = createTimers(fleet);
	const running = new Map<ServerId, Set<Run>>(Array.from({length: servers}, (_, i) => [`s-${i}`, new Set()]));
	const leavingSince = new Map<ServerId, Milliseconds>();
	const counts = {
		ended: 0, culpritRunsAt: [] as Milliseconds[], endedAt: [] as Milliseconds[], harmless: 0, refused: 0,
	};
	let started = servers;

	const pick = <T>(of: readonly T[]): T => of[Math.floor(random() * of.length)]!;

	function note({fingerprint, host, startedAt}: Run, server: ServerId, end: RunEnd): void {
		const {suspects, partQuarantine, isDead} = host;
		if (!isDead) {
			noteRunEnd({
				fingerprint, parts: [], server, startedAt, end,
			}, {
				suspects, partQuarantine, log, services: {clock: {now: fleet.now}},
			} as unknown as ServeContext);
		}
	}

	/** Ends the run of a caller that leaves; its server may go on with it. */
	function leave(run: Run, server: ServerId): void {
		if (running.get(server)?.has(run) === true) {
			run.isLeft = true;
			note(run, server, {kind: 'without-answer'});
		}
	}

	function finish(run: Run, server: ServerId): void {
		if (running.get(server)?.delete(run) === true && !run.isLeft) {
			note(run, server, {
				kind: 'answered', status: 200, framing: 'chunks', isRun: true,
			});
		}
	}

	function announceLeave(server: ServerId): void {
		leavingSince.set(server, fleet.now());
	}

	/** Removes the entry of a server that has ended. */
	function lapse(server: ServerId): void {
		for (const {suspects, partQuarantine, isDead} of fleet.hosts) {
			if (!isDead) {
				createLostServers({
					suspects, partQuarantine, log, clock: {now: fleet.now, wallNow: fleet.now}, isZoneSilent: () => false,
				})({id: server, zone: 'a'}, leavingSince.get(server));
			}
		}
	}

	/** Ends a server, and starts another one in its place. */
	function endServer(server: ServerId, way: EndWay, {isPlanned = false} = {}): void {
		const runs = running.get(server);
		if (runs === undefined) {
			return;
		}

		running.delete(server);
		running.set(`s-${started++}`, new Set());
		breakRuns(runs, server, way);
		after(isPlanned ? 0 : lapseMs, () => {
			lapse(server);
		});
	}

	function breakRuns(runs: ReadonlySet<Run>, server: ServerId, way: EndWay): void {
		for (const run of [...runs].filter(({isLeft}) => !isLeft)) {
			if (way.isDark === true) {
				after(silentMs, () => {
					note(run, server, {kind: 'without-answer'});
				});
			} else {
				note(run, server, run.fingerprint === culprit && way.seen !== undefined ? way.seen : {kind: 'closed'});
			}
		}
	}

	/** Starts a run at a random host and server, unless the host refuses the request. */
	function begin(fingerprint: string): {run: Run; server: ServerId} | undefined {
		const host = pick(fleet.hosts.filter(({isDead}) => !isDead));
		const now = fleet.now();
		if (host.suspects.isQuarantined(fingerprint, now)) {
			host.suspects.noteRefused(fingerprint, now);
			return undefined;
		}

		const run: Run = {
			fingerprint, host, startedAt: now, isLeft: false,
		};
		const server = pick([...running.keys()].filter(id => !leavingSince.has(id)));
		running.get(server)!.add(run);
		return {run, server};
	}

	function serve({run, server}: {run: Run; server: ServerId}): void {
		after(headMs, () => {
			if (running.get(server)?.has(run) === true) {
				run.host.suspects.noteAnswered(server, run.startedAt);
			}
		});
		after(runMs, () => {
			finish(run, server);
		});
	}

	return {
		counts,
		/** Sends a request that every server survives; its caller leaves after this time, if any. */
		sendHarmless(fingerprint: string, leaveMs?: Milliseconds): void {
			const begun = begin(fingerprint);
			counts.harmless++;
			if (begun === undefined) {
				counts.refused++;
				return;
			}

			serve(begun);
			if (leaveMs !== undefined) {
				after(leaveMs, () => {
					leave(begun.run, begun.server);
				});
			}
		},
		sendCulprit(way: EndWay): void {
			const begun = begin(culprit);
			if (begun === undefined) {
				return;
			}

			const {run, server} = begun;
			counts.culpritRunsAt.push(fleet.now());
			if (way.isDrained === true) {
				announceLeave(server);
			}

			if (!isFatal(server, counts.culpritRunsAt.length)) {
				serve(begun);
				return;
			}

			if (way.leaveMs !== undefined) {
				after(way.leaveMs, () => {
					leave(run, server);
				});
			}

			after(way.endMs ?? defaultEndMs, () => {
				if (running.has(server)) {
					counts.ended++;
					counts.endedAt.push(fleet.now());
					endServer(server, way);
				}
			});
		},
		/** Ends a random server, of those that are picked, for another reason than a request. */
		endAny(isPicked: (server: ServerId) => boolean = () => true): void {
			endServer(pick([...running.keys()].filter(id => isPicked(id))), otherWay);
		},
		/** A random server leaves as planned: it gets no more requests, and ends later. */
		drainAny(): void {
			const server = pick([...running.keys()].filter(id => !leavingSince.has(id)));
			announceLeave(server);
			after(drainMs, () => {
				endServer(server, otherWay, {isPlanned: true});
			});
		},
		/** A server that goes on breaks off one of its runs. */
		breakOff(end: RunEnd): void {
			const server = pick([...running.keys()]);
			const [run] = running.get(server)!;
			if (run !== undefined) {
				running.get(server)!.delete(run);
				note(run, server, end);
			}
		},
		pass,
	};
}
