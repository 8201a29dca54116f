/** Plays restarts of hosts that refuse a request which ends servers, and counts those that would send it on. */
import {createRandom} from '../../../../domain/_test/create-random.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {msPerSecond} from '../../../../ports/units.js';
import {startHosts, stepMs, type Host} from './start-hosts.js';

const request = 'ends-servers';

/** Other requests and parts of prompts that hosts know of. */
const besides = 160;

export type RestartCourse = {
	hosts: number;
	/** Hosts that are killed and started again at the same moment, one group after the other. */
	groups: ReadonlyArray<readonly number[]>;
	/** Time between two groups. */
	gapMs: Milliseconds;
	/** Time for which killed hosts are gone. */
	goneMs?: Milliseconds;
	lossShare?: number;
	/** Whether hosts serve as soon as they have started, as a comparison. */
	servesAtOnce?: boolean;
	seed?: number;
};

export type RestartTally = {
	/** Starts after which the host served and would have sent the request on. */
	unaware: number;
	/** Time from the start of a host until it serves. */
	waitMs: {mean: Milliseconds; max: Milliseconds};
	/** Bytes that a host sent on average each second. */
	bytes: number;
};

type Fleet = Awaited<ReturnType<typeof startHosts>>;

/** Lets hosts record crashes: the request ended three servers, others were present at one or two ends. */
function recordCrashes(fleet: Fleet): void {
	const {hosts} = fleet;
	for (let n = 0; n < besides; n++) {
		const host = hosts[n % hosts.length]!;
		host.suspects.noteBroken(`beside-${n}`, `s${n % 3}`, fleet.now());
		host.partQuarantine.suspects.noteBroken(`part-${n}`, `s${n % 3}`, fleet.now());
	}

	for (const [n, server] of ['s1', 's2', 's3'].entries()) {
		hosts[n]!.suspects.noteBroken(request, server, fleet.now());
		fleet.pass(msPerSecond);
	}
}

/**
 * Plays a course. The request comes to each host that has started in each step.
 *
 * @param course - See {@link RestartCourse}.
 * @returns See {@link RestartTally}.
 */
export async function playRestarts({hosts: count, groups, gapMs, goneMs = 500, lossShare = 0.05, servesAtOnce = false, seed = count}: RestartCourse): Promise<RestartTally> {
	const fleet = await startHosts(count, {lossShare, random: createRandom(seed)});
	fleet.pass(10 * msPerSecond);
	recordCrashes(fleet);
	fleet.pass(6 * msPerSecond);
	const unaware = new Set<Host>();
	const servedAt = new Map<Host, Milliseconds>();
	let started: Host[] = [];
	const beganAt = fleet.now();
	const before = fleet.sent().bytes;

	function look(): void {
		const now = fleet.now();
		for (const host of started) {
			if (servesAtOnce || !host.sharing.catchUp.isBehind(now)) {
				servedAt.set(host, servedAt.get(host) ?? now);
				if (!host.suspects.isQuarantined(request, now)) {
					unaware.add(host);
				}
			}
		}
	}

	function pass(ms: Milliseconds): void {
		for (let passed = 0; passed < ms; passed += stepMs) {
			look();
			fleet.pass(stepMs);
		}

		look();
	}

	for (const group of groups) {
		for (const i of group) {
			fleet.kill(fleet.hosts[i]!);
		}

		pass(goneMs);
		for (const i of group) {
			await fleet.restart(fleet.hosts[i]!);
		}

		started = group.map(i => fleet.hosts[i]!);
		pass(gapMs);
	}

	pass(msPerSecond);
	const waits = [...servedAt].map(([host, at]) => at - host.startedAt);
	const seconds = (fleet.now() - beganAt) / msPerSecond;
	return {
		unaware: unaware.size,
		waitMs: {mean: waits.reduce((sum, wait) => sum + wait, 0) / waits.length, max: Math.max(...waits)},
		bytes: (fleet.sent().bytes - before) / count / seconds,
	};
}
