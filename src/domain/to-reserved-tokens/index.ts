import {type RequestHints} from '../../ports/server-calls.js';

/**
 * Part of the guessed answer that is reserved on top of the guess. Guesses are
 * right at the median, so reserving just the guess leaves every second answer to
 * grow past its place; reserving the longest answer allowed keeps a third of the
 * memory idle where answers are mostly short.
 */
const estimateMargin = 0.25;

/**
 * Works out how much decode memory to reserve for a request.
 *
 * @param work - Tokens of the prompt, of the longest answer, and the caller's guess.
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
