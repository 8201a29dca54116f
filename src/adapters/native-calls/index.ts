/** Headers of plain requests on the system's own interface. */
import {toForwardHeaders} from '../../domain/to-forward-headers/index.js';
import {type RequestHints, type ServerCalls} from '../../ports/server-calls.js';
import {type FleetView} from '../../ports/view.js';

/** The own interface says nothing of a plain request beside its body. */
const noHints: RequestHints = {
	timeoutMs: undefined, model: undefined, promptTokens: 0, maxTokens: 0, estimatedTokens: undefined,
};

/**
 * Creates the calls of plain services as the own interface has them: the
 * caller's headers, its request's id and its workspace, and nothing that a
 * service could say back but its answer.
 *
 * @param options - The view, which tells whether callers have tokens.
 * @returns The calls.
 */
export function createNativeCalls({toView}: {toView: () => FleetView | undefined}): ServerCalls {
	return {
		parseHints: () => noHints,
		toHeaders({headers, requestId, workspace}) {
			const hasTokens = Object.keys(toView()?.accepted?.config.callerTokens ?? {}).length > 0;
			return {
				// A caller's token is for this system, and no business of the service behind it.
				...toForwardHeaders(headers, {drop: ['host', ...(hasTokens ? ['authorization'] : [])]}) as Record<string, string>,
				'x-request-id': requestId,
				'x-workspace': workspace,
			};
		},
		toRefusal: () => undefined,
		isAnswerTo: () => true,
	};
}
