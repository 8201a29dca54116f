import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {type Account} from '../accounts/index.js';
import {type JoinEnd, type ServeKeyedOptions} from '../claims/index.js';
import {type EndedRequest} from './ended-request.js';
import {reportRefused} from './report-refused.js';
import {type Route} from './route.js';
import {type ServeContext} from './serve-types.js';

/** What a joined call's end means in the log and the burn report; its caller went to another connection when it was taken over. */
const joinEnds: Readonly<Record<JoinEnd['kind'], Pick<EndedRequest, 'end' | 'outcome'>>> = {
	complete: {end: 'complete', outcome: 'ran'},
	refused: {end: 'refused', outcome: 'may-have-run'},
	broken: {end: 'failed', outcome: 'may-have-run'},
	'taken-over': {end: 'caller-gone', outcome: 'may-have-run'},
	'caller-gone': {end: 'caller-gone', outcome: 'may-have-run'},
};

/**
 * Options of a keyed request. A call that joins an earlier one's run is logged
 * and counted here too, by its own times: this host's caller waited for it.
 *
 * @param call - The call and its account, and where it goes.
 * @param ctx - The program.
 * @param work - Does the work for whoever reads the answer.
 * @returns What the claims need.
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
