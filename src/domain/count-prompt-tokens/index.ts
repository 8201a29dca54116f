/** Characters that one token covers on average; engines report the exact count after prefill. */
const charactersPerToken = 4;

/**
 * Estimates the tokens of a prompt before any engine has seen it. Rules,
 * admission and placement use the estimate; the answer's usage carries the
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
