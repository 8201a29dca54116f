/** Compares the retry budget with a fixed number of attempts, by load and answers, while a fraction of all attempts fails. */
import {createRetryBudget} from '../../../src/domain/create-retry-budget/index.js';
import {createRandom} from './arrivals.js';

export type RetryRow = {
	failPart: number;
	/** Mean attempts per request. */
	attemptsFixed: number;
	attemptsBudget: number;
	answeredFixed: number;
	answeredBudget: number;
};

const requests = 20_000;
const requestsPerSecond = 100;
const maxAttempts = 3;

/** Returns a row for each fraction of failing attempts, with up to three attempts per request, without and with the budget. */
export function runRetries(): RetryRow[] {
	return [0.01, 0.05, 0.2, 0.5, 1].map(failPart => {
		const fixed = run(failPart, false);
		const budget = run(failPart, true);
		return {
			failPart, attemptsFixed: fixed.attempts, attemptsBudget: budget.attempts, answeredFixed: fixed.answered, answeredBudget: budget.answered,
		};
	});
}

function run(failPart: number, isBudgeted: boolean): {attempts: number; answered: number} {
	const random = createRandom(7);
	const budget = createRetryBudget({maxAttempts});
	let attempts = 0;
	let answered = 0;
	for (let i = 0; i < requests; i++) {
		const now = i * 1000 / requestsPerSecond;
		for (let attempt = 1; attempt <= maxAttempts; attempt++) {
			attempts += 1;
			if (random() >= failPart) {
				answered += 1;
				budget.noteSuccess(now);
				break;
			}

			const answer = budget.takeRetry({
				repeatable: true, bytesOffered: 1, outcome: 'may-have-run', attempt, deadline: now + 5000, expectedMs: 500, tried: [],
			}, now, random);
			if (isBudgeted && answer.kind === 'give-up') {
				break;
			}
		}
	}

	return {attempts: attempts / requests, answered: answered / requests};
}
