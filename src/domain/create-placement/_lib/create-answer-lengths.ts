/** Learns, for each pool and class, how long answers are relative to the maximum that their requests allow. */
import {type ServiceClass} from '../../../ports/outcome.js';

/** Weight of the newest answer. */
const gain = 0.05;

/** Share of the maximum length that is assumed before the first answer. */
const assumedShare = 0.5;

const toKey = (pool: string, serviceClass: ServiceClass): string => `${serviceClass} ${pool}`;

/** @returns Functions that record an answer's length, and that predict the length of the next one. */
export const createAnswerLengths = () => {
	const shares = new Map<string, number>();

	const toShare = (pool: string, serviceClass: ServiceClass): number => shares.get(toKey(pool, serviceClass)) ?? assumedShare;

	return {
		note(pool: string, serviceClass: ServiceClass, tokens: number, maxTokens: number): void {
			const share = toShare(pool, serviceClass);
			shares.set(toKey(pool, serviceClass), share + (gain * (Math.min(1, tokens / Math.max(1, maxTokens)) - share)));
		},
		toExpected: (pool: string, serviceClass: ServiceClass, maxTokens: number): number => maxTokens * toShare(pool, serviceClass),
		/** Forgets pools that are no longer published. */
		keepOnly(pools: ReadonlySet<string>): void {
			for (const key of shares.keys()) {
				if (!pools.has(key.slice(key.indexOf(' ') + 1))) {
					shares.delete(key);
				}
			}
		},
	};
};

export type AnswerLengths = ReturnType<typeof createAnswerLengths>;
