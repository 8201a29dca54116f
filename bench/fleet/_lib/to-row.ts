/** Aggregates the results of callers and the counts of stand-in engines into one row of the table. */
import {type Scenario} from '../../admission/_lib/arrivals.js';
import {prefillTokensPerMs} from '../../admission/_lib/fleets.js';
import {measure, toPaperBound} from '../../admission/_lib/measure.js';
import {type CallerResult, type Windows} from './drive.js';
import {
	batchShare, burst, cancelPart, type RunPlan, toFaultText,
} from './plan.js';
import {type JudgedPrefills} from './servers-worker.js';
import {type LateRefusal, lateShare} from './trace-late.js';

export type Row = {
	fleet: string;
	load: number;
	hosts: number;
	fault: string;
	/** Shares, 0 to 1, of the requests whose caller did not cancel; `paper...` is the theoretical upper bound. */
	paperQuick: number;
	paperBatch: number;
	paperDesk: number;
	quickGood: number;
	batchGood: number;
	deskGood: number;
	batchOfLeft: number;
	/** Time to the first token of quick requests, milliseconds. */
	quickP50: number;
	quickP95: number;
	quickP99: number;
	/** Complete batch answers, in time or late, as a share of the batch requests whose caller did not cancel. */
	batchComplete: number;
	/** Longest time to a first token or a refusal of a batch request, milliseconds. */
	batchOldestMs: number;
	late: number;
	failed: number;
	refusedQuick: number;
	refusedBatch: number;
	refusedDesk: number;
	/** Refusals by kind of problem. */
	refusals: Record<string, number>;
	/** Refusals without `Retry-After`. */
	withoutRetryAfter: number;
	/** 99th percentile of the time to a refusal of quick requests and desk calls, as a share of the first-token target. */
	refusedAtP99: number;
	/** Refusals after more than four fifths of the first-token target. */
	refusedLate: number;
	/** Late refusals of quick requests by cause, and one by one. */
	lateCauses: Record<string, number>;
	lateRefusals: readonly LateRefusal[];
	/** Prompt tokens whose prefill was not used, as a share of all prefilled prompt tokens, by cause. */
	wasted: Record<string, number>;
	wastedPart: number;
	jain: number;
	/** Highest event-loop utilization of the bench's own threads; a high value makes the run unreliable. */
	benchBusy: number;
	/** Longest delay with which the bench sent an arrival. */
	sentLateMs: number;
};

/** Outcome of one run. */
export type RunResult = {
	windows: Windows;
	seed: number;
	runId: string;
	results: readonly CallerResult[];
	judged: JudgedPrefills;
	lateRefusals: readonly LateRefusal[];
	busy: number;
	lateMs: number;
};

function toShare(part: number, all: number): number {
	return part / Math.max(1, all);
}

function toPercentile(values: readonly number[], part: number): number {
	const sorted = [...values].sort((a, b) => a - b);
	return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? 0;
}

/** Counts names. */
function toCounts(names: readonly string[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const name of names) {
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
}

/** Returns the cause that the stand-in engine counted, or `caller-gone` if the caller had cancelled. */
function toCause(cause: string, result: CallerResult | undefined): string {
	return result?.fate === 'caller-gone' ? 'caller-gone' : cause;
}

function toWaste(results: readonly CallerResult[], {started, wasted}: JudgedPrefills, runId: string): Pick<Row, 'wasted' | 'wastedPart'> {
	const byMark = new Map(results.map(result => [`${runId}-${result.arrival.id}`, result]));
	const byRequest = new Map(results.map(result => [result.requestId, result]));
	const toTokens = (mark: string): number => byMark.get(mark)?.arrival.shape.promptTokens ?? byRequest.get(mark)?.arrival.shape.promptTokens ?? 0;
	const all = started.reduce((sum, {mark, count}) => sum + (count * toTokens(mark)), 0);
	const shares: Record<string, number> = {};
	for (const {mark, cause} of wasted) {
		const name = toCause(cause, byMark.get(mark) ?? byRequest.get(mark));
		shares[name] = (shares[name] ?? 0) + toShare(toTokens(mark), all);
	}

	return {wasted: shares, wastedPart: Object.values(shares).reduce((sum, share) => sum + share, 0)};
}

function toRefusals(stayed: readonly CallerResult[]): Pick<Row, 'refusals' | 'refusedDesk' | 'withoutRetryAfter' | 'refusedAtP99' | 'refusedLate'> {
	const refused = stayed.filter(({fate}) => fate === 'refused');
	const toPart = ({arrival, endMs}: CallerResult): number => endMs / arrival.shape.firstTokenMs;
	return {
		refusals: toCounts(refused.map(({problem, arrival, isDesk}) => `${isDesk ? 'desk' : arrival.class} ${problem ?? 'unnamed'}`)),
		refusedDesk: refused.filter(({isDesk}) => isDesk).length,
		withoutRetryAfter: refused.filter(({hasRetryAfter}) => !hasRetryAfter).length,
		refusedAtP99: toPercentile(refused.filter(({arrival}) => arrival.class === 'quick').map(result => toPart(result)), 0.99),
		refusedLate: refused.filter(result => toPart(result) > lateShare).length,
	};
}

/**
 * Creates the row of one run.
 *
 * @param plan - Plan of the run.
 * @param run - Time windows and outcome of the run.
 * @returns Row of the table.
 */
export function toRow(plan: RunPlan, run: RunResult): Row {
	const {windows, seed, runId, results, judged, lateRefusals} = run;
	const scenario: Scenario = {
		...windows, fleet: plan.fleet.table, load: plan.load, seed, cancelPart, burst: plan.fault === 'burst' ? burst : 1, slowFactor: 1,
	};
	const measured = results.filter(({arrival}) => arrival.isMeasured);
	const stayed = measured.filter(({arrival}) => arrival.leavesAt === Infinity);
	const desk = stayed.filter(({isDesk}) => isDesk);
	const batch = stayed.filter(({arrival}) => arrival.class === 'batch');
	const figures = measure(scenario, measured.filter(({isDesk}) => !isDesk).map(({arrival, fate, firstTokenMs, endMs}) => ({
		arrival, fate, firstTokenMs, waitMs: firstTokenMs ?? endMs, bounces: 0, prefillMs: arrival.shape.promptTokens / prefillTokensPerMs,
		wastedMs: {
			'caller-gone': 0, expired: 0, hedge: 0, stalled: 0,
		}, heldMs: 0, leftAt: undefined,
	})));
	const paper = toPaperBound(scenario, batchShare);
	return {
		fleet: plan.fleet.table.name,
		load: plan.load,
		hosts: plan.hosts,
		fault: toFaultText(plan),
		paperQuick: paper.quickGood,
		paperBatch: paper.batchGood,
		paperDesk: Math.min(1, 1 / plan.load),
		quickGood: figures.quickGood,
		batchGood: figures.batchGood,
		deskGood: toShare(desk.filter(({fate}) => fate === 'good').length, desk.length),
		batchOfLeft: figures.batchOfLeft,
		quickP50: figures.quickP50,
		quickP95: figures.quickP95,
		quickP99: figures.quickP99,
		batchComplete: toShare(batch.filter(({fate}) => fate === 'good' || fate === 'late').length, batch.length),
		batchOldestMs: figures.batchOldestWaitMs,
		late: stayed.filter(({fate}) => fate === 'late').length,
		failed: stayed.filter(({fate}) => fate === 'failed').length,
		refusedQuick: figures.refusedQuick,
		refusedBatch: figures.refusedBatch,
		...toRefusals(stayed),
		lateCauses: toCounts(lateRefusals.map(({cause}) => cause)),
		lateRefusals,
		...toWaste(results, judged, runId),
		jain: figures.jain,
		benchBusy: Math.max(run.busy, judged.busy),
		sentLateMs: run.lateMs,
	};
}
