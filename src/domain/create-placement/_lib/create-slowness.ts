/** Estimates how much time an answer would lose on a slow decode server. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {msPerSecond} from '../../../ports/units.js';
import {type ServerLoad} from '../../create-load-estimate/index.js';
import {type InterTokenLatency} from '../../create-inter-token-latency/index.js';
import {type RoleServers} from './to-pool-index.js';

export type SlownessOptions = {
	tokenLatency: InterTokenLatency;
	readLoad: (entry: ServerEntry) => ServerLoad;
	now: Milliseconds;
	/** Servers against which a server's speed is compared. */
	role: RoleServers;
	/** Expected length of the answer, and the target time between two tokens. */
	answer: {tokens: number; perTokenTargetMs: Milliseconds};
};

/** Servers sampled for the typical time between tokens, and how long the result is cached. */
const maxSampled = 32;
const typicalMaxAgeMs = 1000;

/** Times up to this factor above typical are treated as chance; penalising them would send all hosts to the same few servers. */
const tolerance = 1.25;

/** Share of the target time between tokens within which a server is fast enough, however fast the others are. */
const acceptableShare = 0.5;

const toMedian = (values: readonly number[]): number | undefined =>
	values.toSorted((a, b) => a - b)[Math.floor((values.length - 1) / 2)];

/** Elements spread evenly over a list. */
const toSample = <T>(list: readonly T[]): T[] => {
	const stride = Math.max(1, Math.ceil(list.length / maxSampled));
	return list.filter((_, i) => i % stride === 0);
};

/**
 * Creates the estimate, which compares a server with the median of its pool and
 * region. The comparison has three safeguards: where all servers are slow, none
 * is avoided and the pool is used as usual; at most half of the servers can be
 * slower than the median, so a bad signal never affects more of them (in a large
 * group, half of the sample); and a slow server is not excluded, it only costs
 * time in the comparison, so that it is used once the others are full.
 *
 * @returns Functions that read the time between tokens and the time lost.
 */
export const createSlowness = () => {
	const typicalSteps = new WeakMap<RoleServers, {stepMs: Milliseconds; at: Milliseconds}>();

	const toReportedMs = (load: ServerLoad): Milliseconds => msPerSecond / Math.max(1, load.tokensPerSecond);

	/** Expected time between two tokens of a server; stale reports are ignored. */
	const toStepMs = (entry: ServerEntry, load: ServerLoad, fallbackMs: Milliseconds, {tokenLatency, now}: SlownessOptions): Milliseconds =>
		tokenLatency.read(entry.id, load.isUnknown ? fallbackMs : toReportedMs(load), now);

	const toTypicalMs = (options: SlownessOptions): Milliseconds => {
		const {role} = options;
		const known = typicalSteps.get(role);
		if (known !== undefined && options.now - known.at < typicalMaxAgeMs) {
			return known.stepMs;
		}

		const steps = toSample([...role.local, ...role.nearby])
			.map(entry => ({entry, load: options.readLoad(entry)}))
			.filter(({load}) => !load.isUnknown)
			.map(({entry, load}) => toStepMs(entry, load, toReportedMs(load), options));
		const stepMs = toMedian(steps) ?? Infinity;
		typicalSteps.set(role, {stepMs, at: options.now});
		return stepMs;
	};

	return {
		/**
		 * @param entry - A decode server.
		 * @param load - Its load.
		 * @param options - Current records of servers, and the expected answer.
		 * @returns Expected milliseconds between tokens, and milliseconds lost over the whole answer.
		 */
		read(entry: ServerEntry, load: ServerLoad, options: SlownessOptions): {stepMs: Milliseconds; slowdownMs: Milliseconds} {
			const {answer} = options;
			const typicalMs = toTypicalMs(options);
			const stepMs = toStepMs(entry, load, Number.isFinite(typicalMs) ? typicalMs : toReportedMs(load), options);
			const toleratedMs = Math.max(typicalMs * tolerance, answer.perTokenTargetMs * acceptableShare);
			return {stepMs, slowdownMs: answer.tokens * Math.max(0, stepMs - toleratedMs)};
		},
	};
};

export type Slowness = ReturnType<typeof createSlowness>;
