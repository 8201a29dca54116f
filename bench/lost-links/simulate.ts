/**
 * Simulates hosts that have lost their links to all servers behind a load balancer,
 * on a logical clock: who serves their callers, and how soon. Only the response is
 * modelled, not how a host learns of the loss.
 */
import {toSeededRandom} from '../../src/domain/create-placement/_lib/fixtures.js';

/**
 * What a host does once it knows of the loss.
 *
 * - `none`: it calls servers until the deadline.
 * - `leave`: it refuses the load balancer's checks, and refuses requests that still come.
 * - `refuse`: it refuses each request at once, with a time after which to retry.
 * - `pass`: it passes each request on to a host that reaches the servers.
 */
export type Strategy = 'none' | 'leave' | 'refuse' | 'pass';

export type Scenario = {
	name: string;
	zones: number;
	hostsPerZone: number;
	/** Hosts that lose their links, by number; host `i` is in zone `i % zones`. */
	cut: readonly number[];
};

export type Outcome = {
	scenario: string;
	strategy: Strategy;
	/** Fraction of the first attempts of callers of cut hosts that were served, from three seconds after the loss. */
	firstServed: number;
	/** The same with one retry. */
	served: number;
	/** Mean time until the answer of those that were served, milliseconds. */
	meanMs: number;
	/** Highest number of requests that a sound host served in a second, as a multiple of its usual number. */
	peak: number;
};

const requestsPerSecond = 10;
const keptShare = 0.7;
const noticeMs = 700;
const backMs = 200;
const cutAtMs = 5000;
const healAtMs = 17_000;
const endMs = 22_000;
const settleMs = 3000;
const stepMs = 10;
const checkMs = 1000;
const missesToLeave = 2;
const budgetMs = 1000;
const serveMs = 25;
const hopMs = 4;
const retryAfterMs = 200;

type Host = {zone: number; isCut: boolean; misses: number; isIn: boolean; servedBySecond: number[]};

/** Hosts to which the load balancer sends new connections of a zone: those in rotation, all of the zone if fewer than half are, or those of other zones. */
function toRotation(hosts: readonly Host[], zone: number): readonly Host[] {
	const own = hosts.filter(host => host.zone === zone);
	const inRotation = own.filter(({isIn}) => isIn);
	if (inRotation.length === 0) {
		return hosts.filter(({isIn}) => isIn);
	}

	return inRotation.length * 2 < own.length ? own : inRotation;
}

/** Simulates one strategy. */
export function simulate({name, zones, hostsPerZone, cut}: Scenario, strategy: Strategy, seed: number): Outcome {
	const random = toSeededRandom(seed);
	const hosts: Host[] = Array.from({length: zones * hostsPerZone}, (_, i) => ({
		zone: i % zones, isCut: cut.includes(i), misses: 0, isIn: true, servedBySecond: Array.from({length: (endMs / 1000) + 2}, () => 0),
	}));
	const tally = {
		first: 0, firstServed: 0, served: 0, spentMs: 0,
	};
	const pick = (from: readonly Host[]): Host | undefined => from[Math.floor(random() * from.length)];
	const isLost = (host: Host, now: number): boolean => host.isCut && now >= cutAtMs && now < healAtMs;
	const knows = (host: Host, now: number): boolean => host.isCut && now >= cutAtMs + noticeMs && now < healAtMs + backMs;

	/** Serves an attempt, and returns the time it took; `undefined` for a failure that may not be repeated, a negative time for a refusal. */
	function attempt(host: Host, now: number): number | undefined {
		const second = Math.floor(now / 1000);
		if (knows(host, now) && strategy === 'pass') {
			const other = pick(hosts.filter(one => !isLost(one, now)));
			if (other !== undefined) {
				other.servedBySecond[second]! += 1;
				return serveMs + hopMs;
			}
		}

		if (knows(host, now) && strategy !== 'none') {
			return -1;
		}

		if (isLost(host, now)) {
			return undefined;
		}

		host.servedBySecond[second]! += 1;
		return serveMs;
	}

	function check(now: number): void {
		for (const host of hosts) {
			host.misses = strategy === 'leave' && knows(host, now) ? host.misses + 1 : 0;
			host.isIn = host.misses < missesToLeave;
		}
	}

	function request(home: Host, now: number): void {
		const host = random() < keptShare ? home : pick(toRotation(hosts, home.zone));
		if (host === undefined) {
			return;
		}

		const tookMs = attempt(host, now);
		const retried = tookMs !== undefined && tookMs < 0 ? attempt(pick(toRotation(hosts, home.zone)) ?? host, now + retryAfterMs) : undefined;
		if (!home.isCut || now < cutAtMs + settleMs || now >= healAtMs) {
			return;
		}

		tally.first += 1;
		if (tookMs !== undefined && tookMs >= 0) {
			tally.firstServed += 1;
			tally.served += 1;
			tally.spentMs += tookMs;
		} else if (retried !== undefined && retried >= 0 && retryAfterMs + retried <= budgetMs) {
			tally.served += 1;
			tally.spentMs += retryAfterMs + retried;
		}
	}

	for (let now = 0; now < endMs; now += stepMs) {
		if (now % checkMs === 0) {
			check(now);
		}

		for (const home of hosts) {
			if (random() < requestsPerSecond * stepMs / 1000) {
				request(home, now);
			}
		}
	}

	const sound = hosts.filter(({isCut}) => !isCut).flatMap(({servedBySecond}) => servedBySecond);
	return {
		scenario: name, strategy, firstServed: tally.firstServed / tally.first, served: tally.served / tally.first, meanMs: tally.spentMs / tally.served, peak: Math.max(...sound) / requestsPerSecond,
	};
}
