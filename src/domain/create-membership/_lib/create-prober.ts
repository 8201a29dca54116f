/**
 * Probes: a direct ping, then indirect pings through other hosts, then success
 * or failure. The prober knows nothing of records; the caller chooses whom to
 * ping and acts on failures.
 */
import {type Milliseconds} from '../../../ports/clock.js';
import {type HostId} from '../../../ports/ids.js';

export type Probe = {
	seq: number;
	target: HostId;
	startedAt: Milliseconds;
	/** Whether other hosts have been asked to ping the target. */
	isIndirect: boolean;
};

/** A ping that this host sends on behalf of another. */
type RelayedPing = {
	requester: HostId;
	requestSeq: number;
	target: HostId;
	startedAt: Milliseconds;
};

export type Prober = {
	/** Starts a probe and returns its sequence number; `undefined` while a probe of the target is in flight. */
	start: (target: HostId, now: Milliseconds) => number | undefined;
	/** Records a ping on behalf of another host and returns its sequence number; `undefined` when there are too many. */
	startRelayedPing: (requester: HostId, requestSeq: number, target: HostId, now: Milliseconds) => number | undefined;
	/** Records an answer. Returns the relayed ping that it completes, if any. */
	takeAnswer: (seq: number, target: HostId) => RelayedPing | undefined;
	/** Takes the probes whose direct ping timed out, which need indirect pings now, and the targets whose probe has failed; failed probes are removed. */
	takeDue: (now: Milliseconds, timeouts: {directMs: Milliseconds; totalMs: Milliseconds}) => {unanswered: readonly Probe[]; failed: readonly HostId[]};
	/** Forgets all probes and relayed pings in flight. */
	clear: () => void;
	/** Ends the probe of a host that was heard from by another message. */
	end: (target: HostId) => void;
};

const maxRelayedPings = 64;

/**
 * Creates a prober with nothing in flight.
 *
 * @returns See {@link Prober}.
 */
export function createProber(): Prober {
	const probes = new Map<HostId, Probe>();
	const relayedPings = new Map<number, RelayedPing>();
	let nextSeq = 1;

	function takeSeq(): number {
		nextSeq += 1;
		return nextSeq;
	}

	return {
		start(target, now) {
			if (probes.has(target)) {
				return undefined;
			}

			const seq = takeSeq();
			probes.set(target, {
				seq, target, startedAt: now, isIndirect: false,
			});
			return seq;
		},
		startRelayedPing(requester, requestSeq, target, now) {
			if (relayedPings.size >= maxRelayedPings) {
				return undefined;
			}

			const seq = takeSeq();
			relayedPings.set(seq, {
				requester, requestSeq, target, startedAt: now,
			});
			return seq;
		},
		takeAnswer(seq, target) {
			if (probes.get(target)?.seq === seq) {
				probes.delete(target);
			}

			const relayed = relayedPings.get(seq);
			relayedPings.delete(seq);
			return relayed?.target === target ? relayed : undefined;
		},
		takeDue(now, {directMs, totalMs}) {
			const unanswered: Probe[] = [];
			const failed: HostId[] = [];
			for (const probe of probes.values()) {
				const age = now - probe.startedAt;
				if (age >= totalMs) {
					failed.push(probe.target);
					probes.delete(probe.target);
				} else if (age >= directMs && !probe.isIndirect) {
					probe.isIndirect = true;
					unanswered.push(probe);
				}
			}

			for (const [seq, {startedAt}] of relayedPings) {
				if (now - startedAt >= totalMs) {
					relayedPings.delete(seq);
				}
			}

			return {unanswered, failed};
		},
		clear() {
			probes.clear();
			relayedPings.clear();
		},
		end(target) {
			probes.delete(target);
		},
	};
}
