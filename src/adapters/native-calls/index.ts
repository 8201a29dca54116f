/** Server calls of plain services behind the system's native interface. */
import {needsKey} from '../../domain/identify-caller/index.js';
import {toForwardHeaders} from '../../domain/to-forward-headers/index.js';
import {type RequestHints, type ServerCalls} from '../../ports/server-calls.js';
import {type FleetView} from '../../ports/view.js';

/** The native interface has no headers with hints about a plain request. */
const noHints: RequestHints = {
	timeoutMs: undefined, model: undefined, promptTokens: 0, maxTokens: 0, sharedParts: [], estimatedTokens: undefined,
};

/**
 * Creates the server calls of plain services. A request is forwarded with the
 * caller's headers, its request id and its workspace. Headers of a service's
 * answer have no meaning for the router.
 *
 * @param options - `toView`: the current view, from which follows whether callers have tokens.
 * @returns The server calls.
 */
export function createNativeCalls({toView}: {toView: () => FleetView | undefined}): ServerCalls {
	return {
		parseHints: () => noHints,
		toHeaders({headers, requestId, workspace}) {
			const config = toView()?.accepted?.config;
			const hasTokens = config !== undefined && needsKey(config);
			return {
				// A caller's token authenticates it to this system and must not reach the service behind it.
				...toForwardHeaders(headers, {drop: ['host', ...(hasTokens ? ['authorization'] : [])]}) as Record<string, string>,
				'x-request-id': requestId,
				'x-workspace': workspace,
			};
		},
		toRefusal: () => undefined,
	};
}
