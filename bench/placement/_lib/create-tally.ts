/** Counts the outcomes of the requests of a run, except those that arrive in its first or last `warmupMs`. */
import {
	settings, toCapacity, type AnswerLength, type Outcome, type Scenario,
} from './scenario.js';

type Count = 'offered' | 'good' | 'late' | 'refused' | 'failed' | 'offers' | 'overfull' | 'prefills' | 'wasted' | 'answers' | 'slowTokens';

const toQuantile = (sorted: readonly number[], quantile: number): number => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;

export const createTally = (scenario: Scenario, isArbitrated: boolean) => {
	const endMs = scenario.seconds * 1000;
	const counts: Record<Count, number> = {
		offered: 0, good: 0, late: 0, refused: 0, failed: 0, offers: 0, overfull: 0, prefills: 0, wasted: 0, answers: 0, slowTokens: 0,
	};
	const begun: Record<AnswerLength, {all: number; slow: number}> = {short: {all: 0, slow: 0}, long: {all: 0, slow: 0}};
	const firstTokens: number[] = [];
	const isCounted = (at: number): boolean => at >= settings.warmupMs && at < endMs - settings.warmupMs;
	const add = (arrivedAt: number, count: Count): void => {
		counts[count] += isCounted(arrivedAt) ? 1 : 0;
	};

	return {
		add,
		/** Counts an answer at its first token; `stepMs` is its server's time per token. */
		addAnswer(arrivedAt: number, tookMs: number, stepMs: number): void {
			const isSlow = stepMs > settings.perTokenTargetMs;
			add(arrivedAt, 'answers');
			add(arrivedAt, tookMs <= settings.targetMs && !isSlow ? 'good' : 'late');
			if (isSlow) {
				add(arrivedAt, 'slowTokens');
			}

			if (isCounted(arrivedAt)) {
				firstTokens.push(tookMs);
			}
		},
		/** Counts an answer that began while some servers were slow; `isSlow` tells whether its own server was. */
		addBegun(arrivedAt: number, length: AnswerLength, isSlow: boolean): void {
			if (isCounted(arrivedAt)) {
				begun[length].all++;
				begun[length].slow += isSlow ? 1 : 0;
			}
		},
		toOutcome(): Outcome {
			const sorted = firstTokens.toSorted((a, b) => a - b);
			const countedSeconds = scenario.seconds - (2 * settings.warmupMs / 1000);
			return {
				offered: counts.offered,
				good: counts.good,
				late: counts.late,
				refused: counts.refused,
				failed: counts.failed,
				overfullShare: counts.overfull / Math.max(1, counts.offers),
				refusalsPerRequest: isArbitrated ? counts.overfull / Math.max(1, counts.offered) : 0,
				wastedPrefillShare: counts.wasted / Math.max(1, counts.prefills),
				goodput: counts.good / (toCapacity(scenario) * countedSeconds),
				firstTokenP50: toQuantile(sorted, 0.5),
				firstTokenP99: toQuantile(sorted, 0.99),
				slowShare: {short: begun.short.slow / Math.max(1, begun.short.all), long: begun.long.slow / Math.max(1, begun.long.all)},
				slowTokens: counts.slowTokens / Math.max(1, counts.answers),
			};
		},
	};
};

export type Tally = ReturnType<typeof createTally>;
