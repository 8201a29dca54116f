/** Requests of workspaces with limits to a fleet in virtual time, and how many of them are granted. */
import {createRandom} from '../../../../domain/_test/create-random.js';
import {type Milliseconds, type Random} from '../../../../ports/clock.js';
import {type BucketRate, type QuotaSpend, type QuotaVerdict} from '../../../../ports/quotas.js';
import {msPerSecond} from '../../../../ports/units.js';
import {type Host, type startHosts, stepMs} from './start-hosts.js';

export type Fleet = Awaited<ReturnType<typeof startHosts>>;

/** Asks a host for leave to use a limit. */
export type Take = (host: Host, spend: QuotaSpend, now: Milliseconds, settle: (verdict: QuotaVerdict) => void) => void;

/** Takes by the quotas of the hosts. */
export const takeFromKeeper: Take = ({sharing}, spend, now, settle) => {
	sharing.quotas.take(spend, now, settle);
};

export type LimitTrafficOptions = {
	fleet: Fleet;
	rate: BucketRate;
	seed?: number;
	take?: Take;
	/** Hosts that receive the requests; all living ones by default. */
	toHosts?: () => readonly Host[];
};

/** Two in three requests are prompts, the others lookups. */
const lookupTokens = 200;
const lookupShare = 0.35;
const minPromptTokens = 1500;
const maxPromptTokens = 9000;

function toCost(random: Random): number {
	return random() < lookupShare ? lookupTokens : Math.round(minPromptTokens + (random() * (maxPromptTokens - minPromptTokens)));
}

const meanCost = (lookupShare * lookupTokens) + ((1 - lookupShare) * (minPromptTokens + maxPromptTokens) / 2);

/** Requests come in a wave of this period and swing. */
const wavePeriodMs: Milliseconds = 11 * msPerSecond;
const waveSwing = 0.27;

type Step = {asked: number; granted: number; at: Milliseconds; rate: BucketRate};

/**
 * Creates the traffic of one workspace.
 *
 * @param options - Fleet, limit, and which hosts receive requests.
 * @returns Functions that send requests and sum up what was granted.
 */
export function createLimitTraffic({fleet, rate: startRate, seed = 1, take = takeFromKeeper, toHosts = () => fleet.hosts.filter(({isDead}) => !isDead)}: LimitTrafficOptions) {
	const random = createRandom(seed);
	const workspace = `w-${seed}`;
	const steps: Step[] = [];
	let rate = startRate;
	let edition = 1;
	/** Tokens asked for beyond a whole request. */
	let owed = 0;

	function send(host: Host, cost: number): void {
		const step = steps.at(-1)!;
		step.asked += cost;
		take(host, {
			workspace, cost, edition, rate,
		}, fleet.now(), ({isGranted}) => {
			// A question that is answered in a later step counts there.
			steps.at(-1)!.granted += isGranted ? cost : 0;
		});
	}

	function sendStep(factor: number): void {
		steps.push({
			asked: 0, granted: 0, at: fleet.now(), rate,
		});
		const wave = 1 + (waveSwing * Math.sin(2 * Math.PI * fleet.now() / wavePeriodMs));
		owed += factor * wave * rate.perSecond * stepMs / msPerSecond;
		const hosts = toHosts();
		while (owed > 0 && hosts.length > 0) {
			const cost = toCost(random);
			owed -= cost;
			send(hosts[Math.floor(random() * hosts.length)]!, cost);
		}
	}

	const sumOf = (list: readonly Step[], key: 'asked' | 'granted'): number => list.reduce((sum, step) => sum + step[key], 0);

	return {
		/** Sends requests for a time at a multiple of the limit's rate. */
		pass(ms: Milliseconds, factor: number): void {
			const until = fleet.now() + ms;
			while (fleet.now() < until) {
				fleet.pass(stepMs);
				sendStep(factor);
			}
		},
		setRate(next: BucketRate): void {
			edition++;
			rate = next;
		},
		/** Share of the requested tokens that was refused since a time. */
		toRefusedShare(since: Milliseconds): number {
			const list = steps.filter(({at}) => at >= since);
			return 1 - (sumOf(list, 'granted') / sumOf(list, 'asked'));
		},
		/** Tokens granted since a time, as a share of the rate. */
		toUsedShare(since: Milliseconds): number {
			const list = steps.filter(({at}) => at >= since);
			return sumOf(list, 'granted') / (list.length * rate.perSecond * stepMs / msPerSecond);
		},
		/** Greatest use in any window from a time on, as a share of what is allowed there. */
		toMaxUse({windowMs, overshoot, slack, since = 0}: {windowMs: Milliseconds; overshoot: number; slack: number; since?: Milliseconds}): number {
			const count = windowMs / stepMs;
			const list = steps.filter(({at}) => at >= since);
			return Math.max(...list.map((_, from) => {
				const part = list.slice(from, from + count);
				const highest = Math.max(...part.map(step => step.rate.perSecond));
				const burst = Math.max(...part.map(step => step.rate.burst));
				const allowed = ((highest * windowMs / msPerSecond) + burst) * (1 + overshoot);
				return sumOf(part, 'granted') / (allowed + slack);
			}));
		},
		meanCost,
	};
}
