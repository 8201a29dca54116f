/**
 * Keeps workspaces within their limits over all hosts together. For each
 * workspace all hosts choose the same keeper, which counts what all of them use.
 * A host asks the keeper before it runs a request, and the keeper tells the next
 * host in the ranking what it granted, so that this one can take over.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type WorkspaceId} from '../../ports/ids.js';
import {type QuotaMessage, type QuotaSpend, type QuotaVerdict} from '../../ports/quotas.js';
import {msPerSecond} from '../../ports/units.js';
import {createQuestions} from '../create-questions/index.js';
import {createQuotaKeeper} from '../create-quota-keeper/index.js';

/** Time for an answer: a busy host answers within a few tens of milliseconds, and callers wait for two such times at most. */
const answerTimeoutMs: Milliseconds = 100;

/**
 * Unanswered questions in a row after which a host counts as silent, and the time
 * for which it is not asked then, unless it is heard before. One lost message must
 * not divide the hosts between two keepers, each of which grants the whole limit.
 */
const missesToSilence = 2;
const silentForMs: Milliseconds = 3 * msPerSecond;

/** Time after a start in which a host lets the next one in the ranking decide, which has counted longer. */
const startupMs: Milliseconds = 10 * msPerSecond;

/** Share of its equal part that a host may grant while it reaches no other, since the others may use more than their equal parts. */
const aloneShare = 0.6;

/** Maximum number of scarce limits that are counted; when it is exceeded, hosts wait for their part anew. */
const maxScarce = 1024;

/** Number of hosts assumed by a host that has just started and has heard of no other. */
const assumedHosts = 20;

export type QuotaPeers = {
	/** Hosts that may keep a workspace, this one included, best first: the same few on all hosts that reach each other. */
	rankKeepers: (workspace: WorkspaceId, now: Milliseconds) => readonly string[];
	/** Share of all hosts that this host can be reached by. */
	toReachedShare: (now: Milliseconds) => number;
	/** Share of all hosts that are in the zone of this one. */
	toZoneShare: () => number;
	/** Number of hosts, including those lost in the last minutes; `undefined` while no other was heard of. */
	count: () => number | undefined;
	/** Whether no other host was heard lately. */
	isAlone: (now: Milliseconds) => boolean;
};

export type WorkspaceQuotasOptions = {
	/** `IP:port` of this host for its peers. */
	self: string;
	/** Monotonic time at which this process started. */
	startedAt: Milliseconds;
	peers: QuotaPeers;
	/** Sends a message, which may be lost. */
	send: (message: QuotaMessage, to: string) => void;
};

export type WorkspaceQuotas = {
	/** Asks for leave to use a workspace's limit; settles once, at the latest after two unanswered questions. */
	take: (spend: QuotaSpend, now: Milliseconds, settle: (verdict: QuotaVerdict) => void) => void;
	/** Gives back what was granted, because the request was not run. */
	giveBack: (spend: QuotaSpend, now: Milliseconds) => void;
	receive: (message: QuotaMessage, from: string, now: Milliseconds) => void;
	/** Asks another host where an answer is overdue. */
	tick: (now: Milliseconds) => void;
	/** When the next answer is overdue; `undefined` while none is due. */
	dueAt: () => Milliseconds | undefined;
};

type Request = {
	spend: QuotaSpend;
	settle: (verdict: QuotaVerdict) => void;
	asked: readonly string[];
};

/** Hosts that are asked for one request. */
const maxAsked = 2;

/**
 * Creates the quotas of one host.
 *
 * @param options - This host, its peers, and how to send to them.
 * @returns See {@link WorkspaceQuotas}; `now` is monotonic milliseconds.
 */
export function createWorkspaceQuotas({self, startedAt, peers, send}: WorkspaceQuotasOptions): WorkspaceQuotas {
	const keeper = createQuotaKeeper({startedAt, startupMs});
	/** Counts what this host grants while it reaches no other. */
	const aloneKeeper = createQuotaKeeper({startedAt, startupMs});
	/** When this host may grant the next request of a scarce limit by itself. */
	const scarceAt = new Map<WorkspaceId, Milliseconds>();
	const questions = createQuestions<QuotaVerdict>({timeoutMs: answerTimeoutMs, missesToSilence, silentForMs});
	/** Until when requests that cost at least as much are denied without a question. */
	const denials = new Map<WorkspaceId, {until: Milliseconds; cost: number}>();
	const {isSilent} = questions;

	/** Grants a request each time this host's part of a scarce limit has paid for one, and none at first. */
	function decideScarce({workspace, cost, rate}: QuotaSpend, share: number, now: Milliseconds): QuotaVerdict {
		const everyMs = msPerSecond * cost / (rate.perSecond * share);
		const earnedAt = scarceAt.get(workspace) ?? now + everyMs;
		const isGranted = now >= earnedAt;
		const nextAt = isGranted ? now + everyMs : earnedAt;
		if (scarceAt.size >= maxScarce) {
			scarceAt.clear();
		}

		scarceAt.set(workspace, nextAt);
		return {isGranted, waitMs: Math.ceil(nextAt - now)};
	}

	function decideAlone(spend: QuotaSpend, now: Milliseconds): QuotaVerdict {
		const hosts = peers.count() ?? (now - startedAt < startupMs ? assumedHosts : 1);
		if (hosts > 1 && spend.isScarce === true) {
			return decideScarce(spend, aloneShare / hosts, now);
		}

		return aloneKeeper.decide(spend, {share: hosts === 1 ? 1 : aloneShare / hosts, isSubstitute: hosts > 1}, now);
	}

	/** Decides as the keeper or in its place, and tells those that may decide beside this host or after it. */
	function decide(spend: QuotaSpend, {isSubstitute, skipped}: {isSubstitute: boolean; skipped: number}, now: Milliseconds): QuotaVerdict {
		const verdict = keeper.decide(spend, {share: toShare(skipped, now), isSubstitute}, now);
		if (verdict.isGranted) {
			for (const address of findInformed(spend.workspace, now)) {
				send({kind: 'spent', spend}, address);
			}
		}

		return verdict;
	}

	/**
	 * Returns the share that this host grants. If neither the keeper nor its successor
	 * answered, the zone of the host that asks is likely cut off, which is known only
	 * some seconds later.
	 */
	function toShare(skipped: number, now: Milliseconds): number {
		const reached = peers.toReachedShare(now);
		return skipped < maxAsked ? reached : Math.min(reached, peers.toZoneShare());
	}

	/** Returns the hosts ranked before this one that answer; if there are none, the next one in the ranking. */
	function findInformed(workspace: WorkspaceId, now: Milliseconds): readonly string[] {
		const ranked = rankAnswering(workspace, now);
		const position = ranked.indexOf(self);
		const before = position === -1 ? ranked : ranked.slice(0, position);
		return before.length > 0 ? before : ranked.slice(1, 2);
	}

	/** Returns the ranked hosts without those that did not answer lately. */
	const rankAnswering = (workspace: WorkspaceId, now: Milliseconds): readonly string[] =>
		peers.rankKeepers(workspace, now).filter(address => address === self || !isSilent(address, now));

	const isStarting = (now: Milliseconds): boolean => now - startedAt < startupMs;

	/** Returns the host to which a question is forwarded, because it knows the use better; `undefined` if this one is to decide. */
	function findBetterKeeper({spend, successor}: Extract<QuotaMessage, {kind: 'ask'}>, now: Milliseconds): string | undefined {
		// A host that has just started neither knows the use nor all hosts.
		if (isStarting(now)) {
			return successor === '' || successor === self ? undefined : successor;
		}

		const [first = self] = rankAnswering(spend.workspace, now);
		return first === self ? undefined : first;
	}

	function settle({settle: end, spend}: Request, verdict: QuotaVerdict, now: Milliseconds): void {
		if (verdict.waitMs > 0) {
			denials.set(spend.workspace, {until: now + verdict.waitMs, cost: spend.cost});
		}

		end(verdict);
	}

	/** Returns the time for which a request is denied without a question; 0 if it is not. */
	function toDeniedForMs({workspace, cost}: QuotaSpend, now: Milliseconds): Milliseconds {
		const denial = denials.get(workspace);
		if (denial === undefined || now >= denial.until) {
			denials.delete(workspace);
			return 0;
		}

		return cost >= denial.cost ? denial.until - now : 0;
	}

	/** Returns the number of hosts ranked before one that this host would not ask. */
	const countSkipped = (address: string, workspace: WorkspaceId, now: Milliseconds): number =>
		Math.max(0, peers.rankKeepers(workspace, now).indexOf(address));

	function ask(to: string, request: Request, {isFinal, successor = ''}: {isFinal: boolean; successor?: string}, now: Milliseconds): void {
		const {spend} = request;
		const id = questions.begin(to, (verdict, endedAt) => {
			if (verdict === undefined) {
				askNext({...request, asked: [...request.asked, to]}, endedAt);
			} else {
				settle(request, verdict, endedAt);
			}
		}, now);
		send({
			kind: 'ask', id, origin: self, spend, isFinal, skipped: isFinal ? countSkipped(to, spend.workspace, now) : 0, successor,
		}, to);
	}

	function askNext(request: Request, now: Milliseconds): void {
		const {spend, asked} = request;
		const next = asked.length < maxAsked ? rankAnswering(spend.workspace, now).find(address => !asked.includes(address)) : undefined;
		if (next === undefined) {
			settle(request, decideAlone(spend, now), now);
		} else if (next === self) {
			settle(request, decide(spend, {isSubstitute: true, skipped: countSkipped(self, spend.workspace, now)}, now), now);
		} else {
			ask(next, request, {isFinal: true}, now);
		}
	}

	function answer({id, origin, spend, isFinal, skipped}: Extract<QuotaMessage, {kind: 'ask'}>, now: Milliseconds): void {
		const verdict = decide(spend, {isSubstitute: isFinal, skipped}, now);
		if (origin === self) {
			questions.answer(id, verdict, now);
		} else {
			send({kind: 'verdict', id, ...verdict}, origin);
		}
	}

	return {
		take(spend, now, end) {
			const deniedForMs = toDeniedForMs(spend, now);
			if (deniedForMs > 0) {
				end({isGranted: false, waitMs: deniedForMs});
				return;
			}

			const request: Request = {spend, settle: end, asked: []};
			if (peers.isAlone(now)) {
				settle(request, decideAlone(spend, now), now);
				return;
			}

			const [first = self, successor = ''] = rankAnswering(spend.workspace, now);
			const isUsual = first === peers.rankKeepers(spend.workspace, now)[0];
			if (first !== self) {
				ask(first, request, {isFinal: !isUsual, successor}, now);
			} else if (isStarting(now) && successor !== '') {
				ask(successor, request, {isFinal: true}, now);
			} else {
				settle(request, decide(spend, {isSubstitute: !isUsual, skipped: countSkipped(self, spend.workspace, now)}, now), now);
			}
		},
		giveBack(spend, now) {
			const given = {...spend, cost: -spend.cost};
			for (const address of peers.rankKeepers(spend.workspace, now).slice(0, maxAsked)) {
				if (address === self) {
					keeper.note(given, now);
				} else {
					send({kind: 'spent', spend: given}, address);
				}
			}
		},
		receive(message, from, now) {
			questions.noteHeard(from);
			switch (message.kind) {
				case 'ask': {
					const better = message.isFinal ? undefined : findBetterKeeper(message, now);
					if (better === undefined) {
						answer(message, now);
					} else {
						send({...message, isFinal: true}, better);
					}

					break;
				}

				case 'verdict': {
					questions.answer(message.id, {isGranted: message.isGranted, waitMs: message.waitMs}, now);
					break;
				}

				case 'spent': {
					keeper.note(message.spend, now);
					break;
				}
			}
		},
		tick: questions.tick,
		dueAt: questions.dueAt,
	};
}
