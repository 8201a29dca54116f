/**
 * Decides whether this host has lost its links to all servers of a pool, although
 * the pool serves other hosts.
 *
 * Three things must come together. A call of this host has had no answer for too
 * long, and no other server of the pool has answered since it began. Another host
 * has had an answer from the pool after that, so the pool is not down for everyone.
 * And a probe of the pool's servers gets no connection, so this is not the silence
 * of one server. A host whose zone is cut off hears no such host, and goes on
 * serving what it can.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type LinkCall} from '../../ports/reach.js';
import {msPerSecond} from '../../ports/units.js';

export type LinkState = 'reached' | 'lost';

export type PoolLinks = {
	/** Notes the start of a call. */
	open: (now: Milliseconds) => LinkCall;
	/** Whether the pool's servers are to be probed now. `othersAnsweredAt`: when another host last had an answer from the pool. */
	isProbeDue: (othersAnsweredAt: Milliseconds, now: Milliseconds) => boolean;
	/** Notes that a probe begins. */
	noteProbing: () => void;
	/** Notes whether any probed server accepted a connection. */
	noteProbed: (isConnected: boolean, now: Milliseconds) => void;
	state: () => LinkState;
	/** Last time at which a server of the pool answered this host. */
	answeredAt: () => Milliseconds;
	/** Time for which calls have had no answer while no server of the pool answered any. */
	toSilenceMs: (now: Milliseconds) => Milliseconds;
};

/** Bounds of the time after which a call without an answer counts as silent. */
const minSilentMs: Milliseconds = 250;
const maxSilentMs: Milliseconds = msPerSecond;

/** Silence that counts, as a multiple of the pool's mean time to an answer. */
const silentFactor = 3;

/** Weight of the newest answer in the mean. */
const meanGain = 0.1;

/** Interval of the probes while the links are lost: a link that is back is noticed within it. */
const lostProbeMs: Milliseconds = 400;

/** Interval of the probes that found a connection: the pool is slow, and further probes would load it. */
const reachedProbeMs: Milliseconds = msPerSecond;

/**
 * Creates the record of one pool, which counts as reached.
 *
 * @returns Functions that record calls and probes; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const links = createPoolLinks();
 * links.open(0);
 * links.isProbeDue(280, 300); // => true
 * links.noteProbed(false, 600);
 * links.state(); // => 'lost'
 * ```
 */
export function createPoolLinks(): PoolLinks {
	/** Start of each call that is waiting for its answer. */
	const waiting = new Map<LinkCall, Milliseconds>();
	let state: LinkState = 'reached';
	let answeredAt: Milliseconds = -Infinity;
	/** Last sign that a server of the pool can be reached: an answer, or a connection of a probe. */
	let reachedAt: Milliseconds = -Infinity;
	/** Start of the first call that failed since then. */
	let failedFrom: Milliseconds | undefined;
	let meanMs: Milliseconds = 0;
	let nextProbeAt: Milliseconds = -Infinity;
	let isProbing = false;

	const toSilentMs = (): Milliseconds => Math.min(maxSilentMs, Math.max(minSilentMs, silentFactor * meanMs));

	function noteReached(now: Milliseconds): void {
		state = 'reached';
		reachedAt = now;
		failedFrom = undefined;
	}

	/** Start of the first call since the last sign of the pool that failed or has waited for too long. */
	function findSilentFrom(now: Milliseconds): Milliseconds | undefined {
		const latest = now - toSilentMs();
		const silent = [...waiting.values()].filter(startedAt => startedAt >= reachedAt && startedAt <= latest);
		const earliest = Math.min(failedFrom ?? Infinity, ...silent);
		return earliest === Infinity ? undefined : earliest;
	}

	function noteFailed(startedAt: Milliseconds): void {
		if (startedAt >= reachedAt) {
			failedFrom = Math.min(failedFrom ?? Infinity, startedAt);
		}
	}

	return {
		open(now) {
			const call: LinkCall = {
				answer(answered) {
					if (waiting.delete(call)) {
						meanMs += meanGain * (answered - now - meanMs);
						answeredAt = answered;
						noteReached(answered);
					}
				},
				fail() {
					if (waiting.delete(call)) {
						noteFailed(now);
					}
				},
				abandon(abandonedAt) {
					if (waiting.delete(call) && abandonedAt - now >= toSilentMs()) {
						noteFailed(now);
					}
				},
			};
			waiting.set(call, now);
			return call;
		},
		isProbeDue(othersAnsweredAt, now) {
			if (isProbing || now < nextProbeAt) {
				return false;
			}

			const silentFrom = findSilentFrom(now);
			return state === 'lost' || (silentFrom !== undefined && othersAnsweredAt >= silentFrom + toSilentMs());
		},
		noteProbing() {
			isProbing = true;
		},
		noteProbed(isConnected, now) {
			isProbing = false;
			nextProbeAt = now + (isConnected ? reachedProbeMs : lostProbeMs);
			if (isConnected) {
				noteReached(now);
			} else if (findSilentFrom(now) !== undefined) {
				state = 'lost';
			}
		},
		state: () => state,
		answeredAt: () => answeredAt,
		toSilenceMs(now) {
			const silentFrom = findSilentFrom(now);
			return silentFrom === undefined ? 0 : now - silentFrom;
		},
	};
}
