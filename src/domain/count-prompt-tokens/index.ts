/** Average number of characters per token; engines report the exact count after prefill. */
const charactersPerToken = 4;

/**
 * Estimates the number of tokens in a prompt before an engine has tokenized it.
 * Rules, admission and placement use the estimate; the usage in the answer is the
 * engine's own count.
 *
 * @param prompt - The prompt as text.
 * @returns Estimated tokens, at least 1.
 *
 * @example
 * ```ts
 * countPromptTokens('Dear madam or sir'); // => 5
 * ```
 */
export function countPromptTokens(prompt: string): number {
	return Math.max(1, Math.ceil(prompt.length / charactersPerToken));
}
