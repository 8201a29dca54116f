/** Prints the tables of the placement bench. */
import {type Outcome} from './scenario.js';

export const toPercent = (share: number): string => `${(share * 100).toFixed(1)}%`;

export const printRow = (cells: ReadonlyArray<string | number>): void => {
	console.log(cells.map((cell, i) => i === 0 ? String(cell).padEnd(28) : String(cell).padStart(10)).join(''));
};

export const printHeader = (...columns: readonly string[]): void => {
	printRow([...columns, 'goodput', 'overfull', 'refusals', 'wasted', 'late', 'refused', 'failed', 'p50 ms', 'p99 ms', 'slow short', 'slow long', 'slow tok.']);
};

export const printOutcome = (name: ReadonlyArray<string | number>, outcome: Outcome): void => {
	printRow([
		...name,
		toPercent(outcome.goodput),
		toPercent(outcome.overfullShare),
		outcome.refusalsPerRequest.toFixed(3),
		toPercent(outcome.wastedPrefillShare),
		outcome.late,
		outcome.refused,
		outcome.failed,
		outcome.firstTokenP50,
		outcome.firstTokenP99,
		toPercent(outcome.slowShare.short),
		toPercent(outcome.slowShare.long),
		toPercent(outcome.slowTokens),
	]);
};
