import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {type Account} from '../accounts/index.js';
import {type JoinEnd, type ServeKeyedOptions} from '../claims/index.js';
import {type EndedRequest} from './ended-request.js';
import {reportRefused} from './report-refused.js';
import {type Route} from './route.js';
import {type ServeContext} from './serve-types.js';

/** End and outcome to report for a call that joined a run. When another connection takes the answer over, the caller has left this one. */
const joinEnds: Readonly<Record<JoinEnd['kind'], Pick<EndedRequest, 'end' | 'outcome'>>> = {
	complete: {end: 'complete', outcome: 'ran'},
	refused: {end: 'refused', outcome: 'may-have-run'},
	broken: {end: 'failed', outcome: 'may-have-run'},
	'taken-over': {end: 'caller-gone', outcome: 'may-have-run'},
	'caller-gone': {end: 'caller-gone', outcome: 'may-have-run'},
};

/**
 * Creates the options to serve a keyed request. A call that joins the run of an
 * earlier call is logged and counted as a request of its own, by its own times,
 * because a caller of this host waited for it.
 *
 * @param call - The call, its account and its route.
 * @param ctx - Services of the entry.
 * @param work - Runs the request; its answer is recorded for all readers.
 * @returns Options for the claims.
 */
export function toKeyedOptions(call: {exchange: CallerExchange; account: Account; route: Route}, ctx: ServeContext, work: ServeKeyedOptions['serve']): ServeKeyedOptions {
	const {exchange: {requestId, headers}, account, route} = call;
	const {workspace, rule} = route;
	const {now} = ctx.services.clock;
	const receivedAt = now();
	const logFields = {
		requestId, workspace, rule: rule.name, class: rule.then.class,
	};
	return {
		writeTimeoutMs: ctx.limits.writeTimeoutMs,
		now,
		serve: work,
		onJoin(host) {
			account.addStage('joined a run', {host});
			ctx.log.info('joined a run', {...logFields, peer: host});
		},
		onJoinEnded(host, {kind, startedAt}) {
			const completeMs = now() - receivedAt;
			const {end, outcome} = joinEnds[kind];
			account.addStage('ended', {outcome, reason: kind});
			ctx.log.info('request ended', {
				...logFields, peer: host, outcome, reason: kind, durationMs: completeMs,
			});
			ctx.onEnded({
				workspace, rule, end, outcome, firstTokenMs: startedAt === undefined ? undefined : startedAt - receivedAt, completeMs, outputTokens: 0,
			});
		},
		onRefused(problem) {
			reportRefused(problem, {
				requestId, account, route, headers,
			}, ctx);
		},
	};
}
