/**
 * Releases orphans, which are the holds of ended hosts and entries, on the servers
 * that this agent polls. Sweeps are quick after a host or an entry has ended;
 * otherwise they are slow and catch what the quick ones missed.
 */
import {type Log} from '../../../adapters/log/index.js';
import {waitFor} from '../../../_lib/wait-for/index.js';
import {pickOrphans, toOrphanCause, type Orphan} from '../../../domain/pick-orphans/index.js';
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type Engine, type Hold} from '../../../ports/engine.js';
import {type HostId, type Incarnation, type Owner} from '../../../ports/ids.js';
import {type HostStatus} from '../../../ports/view.js';

const graceMs = 500;
const quickSweepMs = 400;
/** Time after the end of a host or an entry during which sweeps are quick. */
const quickPeriodMs = 15_000;
const slowSweepMs = 10_000;
const callTimeoutMs = 2000;

export type ReleaseOptions = {
	servers: () => readonly ServerEntry[];
	toEngine: (server: ServerEntry) => Engine;
	hosts: () => ReadonlyMap<HostId, HostStatus>;
	/** Whether the owner's entry still answers at its peer port. */
	isAnswering: (owner: Owner, address: string) => Promise<boolean>;
	/** Whether this process may act: it has not just woken up from a pause. */
	mayAct: () => boolean;
	onReleased: (count: number) => void;
	log: Log;
	now: () => Milliseconds;
	random: Random;
	signal: AbortSignal;
};

export type OrphanTask = {
	/** Called when hosts have changed. */
	noteHosts: (hosts: ReadonlyMap<HostId, HostStatus>) => void;
	/** Settles once the signal has aborted. */
	done: Promise<void>;
};

/**
 * Starts the task.
 *
 * @param options - See {@link ReleaseOptions}.
 * @returns See {@link OrphanTask}.
 */
export function releaseOrphans(options: ReleaseOptions): OrphanTask {
	const {servers, toEngine, hosts, isAnswering, mayAct, log, now, random, signal} = options;
	const deadSince = new Map<HostId, Milliseconds>();
	const ended = new Map<HostId, Incarnation>();
	let quickUntil = now() + quickPeriodMs;
	let wake = new AbortController();

	function startQuickSweeps() {
		quickUntil = now() + quickPeriodMs;
		wake.abort();
	}

	function noteHosts(next: ReadonlyMap<HostId, HostStatus>) {
		for (const {id, life, entryGone = 0} of next.values()) {
			const isDead = life === 'dead' || life === 'left';
			const isNews = (isDead && !deadSince.has(id)) || entryGone > (ended.get(id) ?? 0);
			ended.set(id, entryGone);
			if (!isDead) {
				deadSince.delete(id);
			} else if (!deadSince.has(id)) {
				deadSince.set(id, now());
			}

			if (isNews) {
				startQuickSweeps();
			}
		}
	}

	/** The last check before a hold is released: if only the host's agent has died, its entry still runs and answers. */
	async function isOwnerGone({hold, cause}: Orphan): Promise<boolean> {
		const address = hosts().get(hold.owner.host)?.entryAddress ?? '';
		return cause === 'entry-ended' || address === '' || !await isAnswering(hold.owner, address);
	}

	async function release(server: ServerEntry, engine: Engine, orphan: Orphan): Promise<number> {
		const {requestId, attempt, owner} = orphan.hold;
		if (!await isOwnerGone(orphan)) {
			return 0;
		}

		// During the probe this process may have been paused, or the owner may have come back.
		if (!mayAct() || toOrphanCause(owner, hosts()) === undefined) {
			return 0;
		}

		const result = await engine.cancel({requestId, attempt, owner}, {signal: AbortSignal.timeout(callTimeoutMs)});
		if (result.isErr()) {
			log.warn('could not release the hold of an ended host within 2 s', {
				requestId, attempt, server: server.id, reason: result.error.message, remedy: 'none after a single failure, the next sweep tries again; if failures go on, restart the server',
			});
			return 0;
		}

		log.info('released the hold of an ended host', {
			requestId, attempt, server: server.id, peer: owner.host, cause: orphan.cause,
		});
		return 1;
	}

	function toAttempts(orphans: readonly Orphan[]): Orphan[] {
		return [...new Map(orphans.map(orphan => [`${orphan.hold.requestId} ${orphan.hold.attempt}`, orphan])).values()];
	}

	async function sweepServer(server: ServerEntry) {
		const engine = toEngine(server);
		const holds = await engine.listHolds({signal: AbortSignal.timeout(callTimeoutMs)});
		const listed: readonly Hold[] = holds.unwrapOr([]);
		const orphans = toAttempts(pickOrphans(listed, hosts(), now(), {deadSince, graceMs}));
		const counts = await Promise.all(orphans.map(async orphan => release(server, engine, orphan)));
		const count = counts.reduce((sum, one) => sum + one, 0);
		if (count > 0) {
			options.onReleased(count);
		}
	}

	async function run() {
		while (!signal.aborted) {
			if (mayAct()) {
				await Promise.all(servers().map(async server => sweepServer(server)));
			}

			wake = new AbortController();
			const isQuick = now() < quickUntil;
			await waitFor((isQuick ? quickSweepMs : slowSweepMs) * (0.8 + (random() * 0.4)), isQuick ? signal : wake.signal);
		}
	}

	signal.addEventListener('abort', () => {
		wake.abort();
	});

	return {noteHosts, done: run()};
}
