/**
 * Models the servers of a pool by places and service times: each prefill server has a
 * queue and a link, each decode server has places. The model omits the network,
 * batching, and memory beyond places.
 */
import {type Agenda} from './create-agenda.js';
import {type Arrival} from './arrivals.js';
import {
	decodeMsPerToken, kvLifeMs, placesPerDecodeServer, type PoolTable, toPrefillMs, toTransferMs,
} from './fleets.js';

export type Stage = 'prefill-queue' | 'prefill' | 'transfer' | 'decode' | 'ended';

export type WasteCause = 'caller-gone' | 'expired' | 'hedge' | 'stalled';

/** One copy of a request on the servers, with its prefill time and whether that was wasted. */
export type Work = {
	arrival: Arrival;
	stage: Stage;
	decodeServer: DecodeServer;
	prefillServer: PrefillServer;
	prefillStartedAt: number;
	prefillMs: number;
	wasted: 'none' | WasteCause;
	onFirstToken: () => void;
	onEnd: (outcome: 'completed' | 'failed') => void;
	/** Called after the transfer was aborted and all places were released. */
	onGivenUp: () => void;
};

type DecodeServer = {used: number; slowFactor: number; isLost: boolean; works: Set<Work>};
type PrefillServer = {queue: Work[]; busy: Work | undefined; linkFreeAt: number; queuedMs: number};

export type Backend = {
	readonly slots: number;
	readonly used: number;
	/** Takes a decode place and queues the prefill; returns `undefined` if no decode server has a free place. */
	start: (arrival: Arrival, handlers: Pick<Work, 'onFirstToken' | 'onEnd' | 'onGivenUp'>) => Work | undefined;
	/** Removes a quarter of the decode servers, at least one, and fails the requests that run on them. */
	lose: () => void;
	/** Places on the remaining servers. */
	readonly slotsLeft: number;
	/** Places in use on the remaining servers. */
	readonly usedLeft: number;
	/** Ends the work at its current stage and releases its places; a prefill whose result is not used counts as wasted. */
	cancel: (work: Work, cause: WasteCause) => void;
};

export type BackendFaults = {
	/** Factor by which the first decode server is slower than the others. */
	slowFactor: number;
	/** Fraction of the transfers that stall. */
	stallPart: number;
	/** Duration of a stall. */
	stallMs: number;
	/** Time past its expected end after which a transfer is aborted. */
	giveUpAfterMs: number;
};

/** Fraction of the decode servers that are in one zone. */
const lostPart = 0.25;

export function createBackend(table: PoolTable, agenda: Agenda, faults: BackendFaults, random: () => number): Backend {
	const decodeServers: DecodeServer[] = Array.from({length: table.decodeServers}, (_, index) => ({
		used: 0, slowFactor: index === 0 ? faults.slowFactor : 1, isLost: false, works: new Set(),
	}));
	const prefillServers: PrefillServer[] = Array.from({length: table.prefillServers}, () => ({
		queue: [], busy: undefined, linkFreeAt: 0, queuedMs: 0,
	}));

	function start(arrival: Arrival, handlers: Pick<Work, 'onFirstToken' | 'onEnd' | 'onGivenUp'>): Work | undefined {
		const decodeServer = pickDecodeServer(decodeServers, random);
		if (decodeServer === undefined) {
			return undefined;
		}

		const prefillServer = [...prefillServers].sort((a, b) => a.queuedMs - b.queuedMs)[0]!;
		const work: Work = {
			arrival, stage: 'prefill-queue', decodeServer, prefillServer, prefillStartedAt: 0, prefillMs: 0, wasted: 'none', ...handlers,
		};
		decodeServer.used += 1;
		decodeServer.works.add(work);
		prefillServer.queue.push(work);
		prefillServer.queuedMs += toPrefillMs(arrival.shape);
		prefillNext(prefillServer);
		return work;
	}

	function prefillNext(server: PrefillServer): void {
		const quickIndex = server.queue.findIndex(work => work.arrival.class === 'quick');
		const work = server.busy === undefined ? server.queue.splice(Math.max(0, quickIndex), 1)[0] : undefined;
		if (work === undefined) {
			return;
		}

		server.busy = work;
		work.stage = 'prefill';
		work.prefillStartedAt = agenda.now;
		agenda.schedule(agenda.now + toPrefillMs(work.arrival.shape), () => {
			if (work.stage === 'prefill') {
				leavePrefill(work, toPrefillMs(work.arrival.shape));
				transfer(work);
			}
		});
	}

	function leavePrefill(work: Work, spentMs: number): void {
		const server = work.prefillServer;
		work.prefillMs = spentMs;
		server.queuedMs -= toPrefillMs(work.arrival.shape);
		server.busy = undefined;
		prefillNext(server);
	}

	function transfer(work: Work): void {
		work.stage = 'transfer';
		const startsAt = Math.max(agenda.now, work.prefillServer.linkFreeAt);
		if (startsAt - agenda.now > kvLifeMs) {
			work.wasted = 'expired';
			end(work, 'failed');
			return;
		}

		work.prefillServer.linkFreeAt = startsAt + toTransferMs(work.arrival.shape);
		const stallMs = faults.stallPart > 0 && random() < faults.stallPart ? faults.stallMs : 0;
		agenda.schedule(work.prefillServer.linkFreeAt + stallMs, () => {
			if (work.stage === 'transfer') {
				decode(work);
			}
		});
		agenda.schedule(work.prefillServer.linkFreeAt + faults.giveUpAfterMs, () => {
			if (work.stage === 'transfer') {
				cancel(work, 'stalled');
				work.onGivenUp();
			}
		});
	}

	function decode(work: Work): void {
		work.stage = 'decode';
		const msPerToken = decodeMsPerToken * work.decodeServer.slowFactor;
		agenda.schedule(agenda.now + msPerToken, work.onFirstToken);
		agenda.schedule(agenda.now + (msPerToken * work.arrival.shape.outputTokens), () => {
			if (work.stage === 'decode') {
				end(work, 'completed');
			}
		});
	}

	function end(work: Work, outcome: 'completed' | 'failed'): void {
		work.stage = 'ended';
		work.decodeServer.used -= 1;
		work.decodeServer.works.delete(work);
		work.onEnd(outcome);
	}

	function cancel(work: Work, cause: WasteCause): void {
		const {stage, prefillServer, arrival} = work;
		work.stage = 'ended';
		work.decodeServer.used -= 1;
		work.decodeServer.works.delete(work);
		if (stage === 'prefill-queue') {
			prefillServer.queue.splice(prefillServer.queue.indexOf(work), 1);
			prefillServer.queuedMs -= toPrefillMs(arrival.shape);
		}

		if (stage === 'prefill') {
			leavePrefill(work, agenda.now - work.prefillStartedAt);
		}

		// A request that is cancelled during decode has used its prefill; the slower of two hedged copies has not.
		if (stage === 'prefill' || stage === 'transfer' || (stage === 'decode' && cause === 'hedge')) {
			work.wasted = cause;
		}
	}

	function lose(): void {
		const lost = decodeServers.slice(-Math.ceil(decodeServers.length * lostPart));
		for (const server of lost) {
			server.isLost = true;
		}

		for (const work of lost.flatMap(({works}) => [...works])) {
			cancel(work, 'caller-gone');
			work.onEnd('failed');
		}
	}

	return {
		slots: table.decodeServers * placesPerDecodeServer,
		get used() {
			let used = 0;
			for (const server of decodeServers) {
				used += server.used;
			}

			return used;
		},
		get slotsLeft() {
			return decodeServers.filter(({isLost}) => !isLost).length * placesPerDecodeServer;
		},
		get usedLeft() {
			return decodeServers.filter(({isLost}) => !isLost).reduce((sum, {used}) => sum + used, 0);
		},
		start,
		lose,
		cancel,
	};
}

/** Draws two servers among those with a free place and returns the one with fewer places in use. */
function pickDecodeServer(servers: readonly DecodeServer[], random: () => number): DecodeServer | undefined {
	const open = servers.filter(server => !server.isLost && server.used < placesPerDecodeServer);
	const drawn = [open[Math.floor(random() * open.length)], open[Math.floor(random() * open.length)]];
	return (drawn[0]?.used ?? 0) <= (drawn[1]?.used ?? 0) ? drawn[0] : drawn[1];
}
