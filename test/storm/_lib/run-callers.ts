/** The load of a storm: callers that send work, disconnect early, and send the same key again. */
import {setTimeout as sleep} from 'node:timers/promises';
import {v7 as createKey} from 'uuid';
import {type Fleet, type FleetHost} from '../../_lib/start-fleet/index.js';
import {countRuns} from './count-runs.js';
import {createRandom, type Random} from './create-random.js';
import {sendWork} from './send-work.js';
import {
	callKinds, type CallKind, type Sent, type Work,
} from './types.js';

export type CallersOptions = {
	seed: number;
	callers: number;
	durationMs: number;
	/** Lists hosts outside the fleet that accept calls at the moment. */
	listExtraHosts: () => readonly FleetHost[];
	/** Whether a load balancer would send no new calls to the host because it is stopping. */
	isLeaving: (host: string) => boolean;
};

const callerSeeds = 10_007;
const workspaces = 5;
const pauseMs = [20, 160] as const;
const leaveShare = 0.1;
const leaveAfterMs = [1, 500] as const;
const keyedShare = 0.7;
const duplicateShare = 0.25;
const duplicateAfterMs = [0, 300] as const;
const resendShare = 0.15;
const resendAfterRefusalShare = 0.5;
const resendAfterBreakShare = 0.7;
const resendAfterMs = [0, 500] as const;
/** Share of calls that still go to a stopping host, because a load balancer learns of the stop late. */
const leavingHostShare = 0.1;
const tokens = [4, 120] as const;

function needsKey(kind: CallKind): boolean {
	return kind === 'scene' || kind === 'desk change';
}

function drawWork(id: string, random: Random): Work {
	const kind = random.pick(callKinds);
	const hasKey = needsKey(kind) || (kind === 'letter' && random.isHit(keyedShare));
	return {
		id, kind, workspace: `workspace-${random.between(1, workspaces)}`, key: hasKey ? createKey() : undefined, maxTokens: random.between(...tokens), isStreamed: random.isHit(0.6),
	};
}

function shouldResend({answer, hasLeft}: Sent, random: Random): boolean {
	if (answer.isBroken || hasLeft) {
		return random.isHit(resendAfterBreakShare);
	}

	return random.isHit(answer.outcome === 'not-run' ? resendAfterRefusalShare : resendShare);
}

/**
 * Runs the callers for the duration of the storm and waits for their last answers.
 *
 * @param fleet - Fleet whose hosts receive the calls.
 * @param options - Number of callers, seed and duration.
 * @returns Every call that was made.
 */
export async function runCallers(fleet: Fleet, {seed, callers, durationMs, listExtraHosts, isLeaving}: CallersOptions): Promise<readonly Sent[]> {
	const until = performance.now() + durationMs;
	const sent: Sent[] = [];

	const send = async (work: Work, host: FleetHost, random: Random, isFirst: boolean): Promise<Sent> => {
		const begunBefore = isFirst ? 0 : countRuns(fleet, work).begun;
		const willLeave = random.isHit(leaveShare);
		const from = performance.now();
		const result = await sendWork(host, work, willLeave ? {leaveAfterMs: random.between(...leaveAfterMs)} : {});
		const isToldNotRun = result.answer.outcome === 'not-run';
		const judged = isToldNotRun ? fleet.judgeRequest(result.answer.requestId) : undefined;
		const entry: Sent = {
			...result,
			work,
			host: host.id,
			from,
			to: performance.now(),
			begunBefore,
			begunAfter: isToldNotRun ? countRuns(fleet, work).begun : undefined,
			begunAsRequest: judged && judged.prefillsStarted + judged.decodesStarted,
		};
		sent.push(entry);
		return entry;
	};

	const pickHost = (random: Random, other?: FleetHost): FleetHost => {
		const hosts = [...fleet.hosts, ...listExtraHosts()].filter(host => host !== other && (!isLeaving(host.id) || random.isHit(leavingHostShare)));
		return hosts.length > 0 ? random.pick(hosts) : random.pick(fleet.hosts);
	};

	const doWork = async (work: Work, random: Random): Promise<void> => {
		const host = pickHost(random);
		const first = send(work, host, random, true);
		if (work.key === undefined) {
			await first;
			return;
		}

		if (random.isHit(duplicateShare)) {
			await sleep(random.between(...duplicateAfterMs));
			await send(work, pickHost(random, host), random, false);
		}

		if (shouldResend(await first, random)) {
			await sleep(random.between(...resendAfterMs));
			await send(work, pickHost(random, host), random, false);
		}
	};

	const call = async (caller: number): Promise<void> => {
		const random = createRandom((seed * callerSeeds) + caller);
		for (let i = 1; performance.now() < until; i++) {
			await doWork(drawWork(`work-${caller}-${i}`, random), random);
			await sleep(random.between(...pauseMs));
		}
	};

	await Promise.all(Array.from({length: callers}, async (_, caller) => call(caller + 1)));
	return sent;
}
