import {type Problem, type ProblemKind} from '../../../domain/to-problem/index.js';
import {type Fingerprint, type PartKey, type RequestId} from '../../../ports/ids.js';
import {type Account} from '../accounts/index.js';
import {type MatchedRule} from './ended-request.js';
import {type Route} from './route.js';
import {type ServeContext} from './serve-types.js';

/** Kinds of problems that this system causes, not a mistake of the caller; they count as lost availability. */
const unavailabilityKinds: ReadonlySet<ProblemKind> = new Set([
	'queue-full', 'answer-lost', 'backend-failed', 'claim-unavailable', 'no-capacity', 'no-configuration', 'origin-gone', 'origin-unknown', 'stopping', 'target-missed', 'deadline-passed', 'internal',
]);

/** Names in the service-level report for requests refused before a rule was matched. Constants, so that callers can't add rows to the report. */
const unrouted = {workspace: '(not known)', rule: '(before any rule)'};

export type RefusedRequest = {
	requestId: RequestId;
	account: Account;
	/** Route of the request, if it was found before the refusal. */
	route: Route | undefined;
	headers: Readonly<Record<string, string>>;
	/** Present if the refusal concerns the content of the request, under whichever id it is sent. */
	fingerprint?: Fingerprint | undefined;
	/** Present if the refusal concerns parts of the request's prompt. */
	parts?: readonly PartKey[];
};

/** Stand-in rule for a request that matched none. Its targets are never compared, as a refusal counts as bad whatever the target. */
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
 * and as lost availability if this system is the cause. Were it not counted, a
 * host without a configuration would refuse all requests and show no burn of its
 * error budget.
 *
 * @param problem - The answer to the caller.
 * @param request - What is known of the request.
 * @param ctx - Services of the entry.
 */
export function reportRefused({kind, outcome}: Problem, {requestId, account, route, headers, fingerprint, parts}: RefusedRequest, ctx: ServeContext): void {
	const rule = route?.rule ?? toUnroutedRule(headers);
	account.addStage('refused', {kind, outcome});
	ctx.log.info('request refused', {
		requestId, reason: kind, outcome, fingerprint, parts: parts?.join(' '), ...(route && {workspace: route.workspace, rule: rule.name, class: rule.then.class}),
	});
	if (unavailabilityKinds.has(kind)) {
		ctx.onEnded({
			workspace: route?.workspace ?? unrouted.workspace, rule, end: 'refused', outcome, firstTokenMs: undefined, completeMs: 0, outputTokens: 0,
		});
	}
}
