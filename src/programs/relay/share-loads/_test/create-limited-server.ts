/** A server that states how many requests a second it takes, and callers who ask more of it, in virtual time. */
import {type Milliseconds, type Random} from '../../../../ports/clock.js';
import {type QuotaSpend, type QuotaVerdict} from '../../../../ports/quotas.js';
import {type ServerLimits} from '../../../../ports/request-limits.js';
import {msPerSecond} from '../../../../ports/units.js';
import {createServerLimits} from '../../../entry/server-limits/index.js';
import {
	log, stepMs, type Host, type startHosts,
} from './start-hosts.js';

type Fleet = Awaited<ReturnType<typeof startHosts>>;

export const limitedServer = {id: 'i-limited'};

/** How a host asks for leave to send a request. */
export type Take = (host: Host, spend: QuotaSpend, now: Milliseconds, settle: (verdict: QuotaVerdict) => void) => void;

/** Asks the hosts that keep the counts together. */
export const takeFromKeeper: Take = (host, spend, now, settle) => {
	host.sharing.quotas.take(spend, now, settle);
};

export type LimitedServer = {
	/** Times at which requests arrived. */
	arrivals: Milliseconds[];
	/** Times at which requests arrived from hosts that have relayed a limit for half a second and are not excused. */
	told: Milliseconds[];
	/** Excuses the hosts of a zone that is cut off, which can't know what the others send. */
	excuseZone: (zone: string) => void;
	/** Sets the limit that the server states; `undefined` ends it. */
	setLimit: (perSecond: number | undefined) => void;
	/** Lets callers ask at this rate for some time, at hosts picked at random. */
	ask: (perSecond: number, forMs: Milliseconds) => void;
};

/** Time after which a host that relayed a limit must keep it. */
const toldMs: Milliseconds = msPerSecond / 2;

/**
 * Creates the server.
 *
 * @param fleet - Hosts, which may change.
 * @param random - Picks the hosts that callers ask.
 * @param take - How hosts ask for leave.
 * @returns See {@link LimitedServer}.
 */
export function createLimitedServer(fleet: Fleet, random: Random, take: Take = takeFromKeeper): LimitedServer {
	const arrivals: Milliseconds[] = [];
	const told: Milliseconds[] = [];
	const limitsOf = new WeakMap<Host, ServerLimits>();
	const passedOverUntil = new WeakMap<Host, Milliseconds>();
	const relayedAt = new WeakMap<Host, Milliseconds>();
	let limit: number | undefined;
	let excusedZone: string | undefined;

	function createLimits(host: Host): ServerLimits {
		const limits = createServerLimits({
			limits: host.limits,
			quotas: {
				take: async () => ({isGranted: true, waitMs: 0}),
				giveBack: () => undefined,
			},
			clock: {now: fleet.now, wallNow: fleet.now},
			log,
			noteLimited: () => undefined,
			countHeldBack: () => undefined,
		});
		limitsOf.set(host, limits);
		return limits;
	}

	function arrive(host: Host): void {
		const now = fleet.now();
		arrivals.push(now);
		if (host.zone !== excusedZone && now - (relayedAt.get(host) ?? Infinity) >= toldMs) {
			told.push(now);
		}

		(limitsOf.get(host) ?? createLimits(host)).noteAnswer(limitedServer, limit ?? 'none', now);
		if (limit !== undefined && !relayedAt.has(host)) {
			relayedAt.set(host, now);
		}
	}

	function send(host: Host): void {
		const now = fleet.now();
		const perSecond = host.limits.toPerSecond(limitedServer.id, now);
		if (perSecond === undefined) {
			arrive(host);
			return;
		}

		if (now < (passedOverUntil.get(host) ?? -Infinity)) {
			return;
		}

		take(host, {
			workspace: `server-limit/${limitedServer.id}`, cost: 1, edition: now, rate: {perSecond, burst: 2 + (perSecond / 4)}, isScarce: true,
		}, now, ({isGranted, waitMs}) => {
			passedOverUntil.set(host, fleet.now() + waitMs);
			if (isGranted) {
				arrive(host);
			}
		});
	}

	return {
		arrivals,
		told,
		excuseZone(zone) {
			excusedZone = zone;
		},
		setLimit(perSecond) {
			limit = perSecond;
		},
		ask(perSecond, forMs) {
			let due = 0;
			for (let passedMs = 0; passedMs < forMs; passedMs += stepMs) {
				for (due += perSecond * stepMs / msPerSecond; due >= 1; due--) {
					const living = fleet.hosts.filter(({isDead}) => !isDead);
					send(living[Math.floor(random() * living.length)]!);
				}

				fleet.pass(stepMs);
			}
		},
	};
}

/** Largest number of requests in any period of this length. */
export function countMost(times: readonly Milliseconds[], periodMs: Milliseconds): number {
	let first = 0;
	let most = 0;
	for (const [last, at] of times.entries()) {
		while (at - times[first]! >= periodMs) {
			first++;
		}

		most = Math.max(most, last - first + 1);
	}

	return most;
}
