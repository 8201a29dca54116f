import {type RequestHints} from '../../ports/server-calls.js';

/**
 * Share of the estimated answer that is reserved in addition to the estimate.
 * Estimates are right at the median, so without a margin every second answer would
 * exceed its reservation; with the maximum length reserved instead, a third of the
 * memory would be idle where most answers are short.
 */
const estimateMargin = 0.25;

/**
 * Computes how much decode memory to reserve for a request.
 *
 * @param work - Tokens of the prompt, maximum tokens of the answer, and the caller's estimate.
 * @returns Tokens.
 *
 * @example
 * ```ts
 * toReservedTokens({promptTokens: 3000, maxTokens: 2000, estimatedTokens: 800}); // => 4000
 * ```
 */
export function toReservedTokens({promptTokens, maxTokens, estimatedTokens}: Pick<RequestHints, 'promptTokens' | 'maxTokens' | 'estimatedTokens'>): number {
	const answer = estimatedTokens === undefined ? maxTokens : Math.ceil(estimatedTokens * (1 + estimateMargin));
	return promptTokens + Math.min(maxTokens, answer);
}
