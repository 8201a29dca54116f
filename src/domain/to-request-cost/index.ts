import {type WorkspaceLimit} from '../../ports/config.js';
import {type RequestHints} from '../../ports/server-calls.js';

/**
 * Computes what a request counts against the limit of its workspace.
 *
 * @param limit - The limit of the workspace.
 * @param hints - Tokens of the prompt, and most tokens of the answer.
 * @returns Units of the limit.
 *
 * @example
 * ```ts
 * toRequestCost({unit: 'tokens', perSecond: 1, burst: 1, unstatedTokens: 200}, {promptTokens: 1460, maxTokens: 80}); // => 1540
 * ```
 */
export function toRequestCost({unit, unstatedTokens}: WorkspaceLimit, {promptTokens, maxTokens}: Pick<RequestHints, 'promptTokens' | 'maxTokens'>): number {
	if (unit === 'requests') {
		return 1;
	}

	const stated = promptTokens + maxTokens;
	return stated > 0 ? stated : unstatedTokens;
}
