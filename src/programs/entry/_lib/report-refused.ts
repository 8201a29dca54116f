import {type Problem, type ProblemKind} from '../../../domain/to-problem/index.js';
import {type Fingerprint, type RequestId} from '../../../ports/ids.js';
import {type Account} from '../accounts/index.js';
import {type MatchedRule} from './ended-request.js';
import {type Route} from './route.js';
import {type ServeContext} from './serve-types.js';

/** Kinds of problems that are this system's want and not the caller's mistake. */
const unavailabilityKinds: ReadonlySet<ProblemKind> = new Set([
	'queue-full', 'answer-lost', 'backend-failed', 'claim-unavailable', 'no-capacity', 'no-configuration', 'stopping', 'target-missed', 'deadline-passed', 'internal',
]);

/** Names in the burn report of requests that were refused before a rule was known; callers can't make more of them. */
const unrouted = {workspace: '(not known)', rule: '(before any rule)'};

export type RefusedRequest = {
	requestId: RequestId;
	account: Account;
	/** Where it would have gone, once that is known. */
	route: Route | undefined;
	headers: Readonly<Record<string, string>>;
	/** Where the refusal is of the request itself, whatever id it has. */
	fingerprint?: Fingerprint | undefined;
};

/** A rule for a request that none was found for; a refusal is bad whatever the target. */
function toUnroutedRule(headers: RefusedRequest['headers']): MatchedRule {
	return {
		name: unrouted.rule,
		then: {
			class: headers['x-service-class'] === 'batch' ? 'batch' : 'quick',
			target: {firstTokenMs: Infinity, perTokenMs: Infinity, completeMs: Infinity},
		},
	};
}

/**
 * Reports a request that is refused without a run: in its account, in the log,
 * and, where it is this system that could not, as lost availability. Uncounted,
 * a host without a configuration would refuse everything and show no burn.
 *
 * @param problem - What the caller is told.
 * @param request - The request, as far as it is known.
 * @param ctx - The program.
 */
export function reportRefused({kind, outcome}: Problem, {requestId, account, route, headers, fingerprint}: RefusedRequest, ctx: ServeContext): void {
	const rule = route?.rule ?? toUnroutedRule(headers);
	account.addStage('refused', {kind, outcome});
	ctx.log.info('request refused', {
		requestId, reason: kind, outcome, fingerprint, ...(route && {workspace: route.workspace, rule: rule.name, class: rule.then.class}),
	});
	if (unavailabilityKinds.has(kind)) {
		ctx.onEnded({
			workspace: route?.workspace ?? unrouted.workspace, rule, end: 'refused', outcome, firstTokenMs: undefined, completeMs: 0, outputTokens: 0,
		});
	}
}
