/**
 * The calls of an admitted plain request: one server after the other, until one
 * answers or no further call is allowed. Work that may not be repeated is
 * offered once.
 */
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {type PlainPlacement} from '../../../domain/create-placement/index.js';
import {type FailedAttempt} from '../../../domain/create-retry-budget/index.js';
import {toForwardHeaders} from '../../../domain/to-forward-headers/index.js';
import {type Problem} from '../../../domain/to-problem/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type ServerId, type ZoneId} from '../../../ports/ids.js';
import {type Outcome} from '../../../ports/outcome.js';
import {msPerSecond} from '../../../ports/units.js';
import {type Account} from '../accounts/index.js';
import {type PlainEnd, sendPlain} from '../send-plain/index.js';
import {notePlaced} from '../_lib/note-placed.js';
import {type PlainBody} from '../_lib/plain-body.js';
import {type PlainClients} from '../_lib/plain-clients.js';
import {toBodyProblem, toEndProblem} from '../_lib/refuse.js';
import {type Route} from '../_lib/route.js';
import {type ServeServices} from '../_lib/serve-types.js';
import {type EndCause} from '../_lib/types.js';

/** The least status by which a service says that it failed. */
const firstServerFault = 500;

const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS']);

export type PlainRun = {
	exchange: CallerExchange;
	route: Route;
	serve: ServeServices;
	clients: PlainClients;
	account: Account;
	body: PlainBody;
	receivedAt: Milliseconds;
	deadline: Milliseconds;
	/** Aborted with an {@link EndCause} as its reason. */
	signal: AbortSignal;
};

export type PlainOutcome = {
	end: 'complete' | 'refused' | 'failed' | 'caller-gone';
	outcome: Outcome;
	/** Sent to the caller unless its answer has begun. */
	problem?: Problem;
};

/**
 * Tells whether the call may run a second time without harm.
 *
 * @param run - The caller's request and its rule.
 * @returns `true` by the rule's word, and for methods that change nothing.
 */
export function isRepeatable(run: Pick<PlainRun, 'exchange' | 'route'>): boolean {
	return run.route.rule.then.repeatable || safeMethods.has(run.exchange.method);
}

function toCallHeaders(run: PlainRun): Record<string, string | string[]> {
	const {exchange, route, serve} = run;
	const hasTokens = Object.keys(serve.services.toView()?.accepted?.config.callerTokens ?? {}).length > 0;
	return {
		// A caller's token is for this system, and no business of the service behind it.
		...toForwardHeaders(exchange.headers, {drop: ['host', ...(hasTokens ? ['authorization'] : [])]}) as Record<string, string>,
		'x-request-id': exchange.requestId,
		'x-workspace': route.workspace,
	};
}

function pickServer(run: PlainRun, exclude: ReadonlySet<ServerId>) {
	const {services} = run.serve;
	return services.placement.pickPlain({pool: run.route.pool.name, exclude}, services.toView()!, services.clock.now(), services.random);
}

async function callOnce(run: PlainRun, placement: PlainPlacement): Promise<PlainEnd> {
	const {exchange, serve, clients, body, signal} = run;
	const {services} = serve;
	const {server} = placement;
	return sendPlain({
		exchange,
		dispatcher: clients.toDispatcher(server),
		server,
		headers: toCallHeaders(run),
		payload: body.open(),
		signal,
		headersTimeoutMs: Math.max(1, run.deadline - services.clock.now()),
		idleTimeoutMs: serve.limits.writeTimeoutMs,
		onStart(status) {
			services.gate.noteFirstToken(exchange.requestId);
			if (status < firstServerFault) {
				services.placement.noteFirstToken(placement, services.clock.now());
			}
		},
	});
}

/**
 * Writes the end of a request that was told to end.
 *
 * @param run - The request.
 * @param wasOffered - Whether a server may have got a byte of it.
 * @returns How it ended.
 */
export function toCutOff(run: PlainRun, wasOffered: boolean): PlainOutcome {
	const outcome: Outcome = wasOffered ? 'may-have-run' : 'not-run';
	const cause = run.signal.reason as EndCause;
	return cause === 'caller-gone'
		? {end: cause, outcome}
		: {end: wasOffered ? 'failed' : 'refused', outcome, problem: toEndProblem(cause, outcome)};
}

function toGivenUp(run: PlainRun, server: ServerEntry, ended: Extract<PlainEnd, {kind: 'failed'}>): PlainOutcome {
	const bodyFault = run.body.fault();
	const outcome: Outcome = ended.fault.kind === 'unreachable' ? 'not-run' : 'may-have-run';
	if (bodyFault !== undefined) {
		const {maxBodyBytes: limitBytes, bodyTimeoutMs: timeoutMs} = run.serve.limits;
		return {end: 'failed', outcome, problem: {...toBodyProblem(bodyFault, {limitBytes, timeoutMs}), outcome}};
	}

	if (run.serve.services.clock.now() >= run.deadline) {
		return {end: 'failed', outcome, problem: {kind: 'deadline-passed', detail: `Server ${server.id} had not begun its answer at the deadline.`, outcome}};
	}

	const again = outcome === 'not-run' ? 'Nothing was sent to it; send the request again.' : 'It had the request, whose fate is not known.';
	return {
		end: outcome === 'not-run' ? 'refused' : 'failed',
		outcome,
		problem: {
			kind: 'backend-failed', detail: `Server ${server.id} failed: ${ended.fault.kind}. ${again}`, outcome, ...(outcome === 'not-run' && {retryAfterMs: msPerSecond}),
		},
	};
}

/**
 * Calls servers until one answers or no further call is allowed.
 *
 * @param run - The admitted request.
 * @returns How it ended; a problem in it has not been sent.
 */
export async function callServers(run: PlainRun): Promise<PlainOutcome> {
	const {serve, route, account} = run;
	const {services} = serve;
	const tried: Array<{server: ServerId; zone: ZoneId}> = [];
	for (let attempt = 1; ; attempt++) {
		const picked = pickServer(run, new Set(tried.map(({server}) => server)));
		if (picked.isErr()) {
			account.note('not placed', {...picked.error.account(), reason: picked.error.reason});
			const problem: Problem = {
				kind: 'no-capacity', detail: `${picked.error.message}.`, outcome: 'not-run', retryAfterMs: picked.error.retryAfterMs,
			};
			return {end: 'refused', outcome: 'not-run', problem};
		}

		const {server} = picked.value;
		const placement = notePlaced(account, picked.value, {attempt, pool: route.pool.name, chosen: [server.id]});
		services.placement.noteDispatched(placement, services.clock.now());
		const ended = await callOnce(run, placement);
		services.placement.noteFinished(placement, services.clock.now());
		if (ended.kind === 'complete') {
			services.toRetryBudget(route.pool.name).noteSuccess(services.clock.now());
			return {end: 'complete', outcome: 'ran'};
		}

		if (run.signal.aborted) {
			return toCutOff(run, true);
		}

		if (ended.kind === 'caller-gone' || ended.kind === 'cut') {
			run.exchange.destroy();
			return {end: ended.kind === 'cut' ? 'failed' : 'caller-gone', outcome: 'may-have-run'};
		}

		services.placement.noteFailure(server, {kind: ended.fault.kind, reason: undefined}, services.clock.now());
		account.note('attempt failed', {
			attempt, server: server.id, failure: ended.fault.kind, message: ended.fault.message,
		});
		tried.push({server: server.id, zone: server.zone});
		if (!mayCallAgain(run, ended, {attempt, tried})) {
			return toGivenUp(run, server, ended);
		}
	}
}

function mayCallAgain(run: PlainRun, ended: Extract<PlainEnd, {kind: 'failed'}>, history: Pick<FailedAttempt, 'attempt' | 'tried'>): boolean {
	const {services} = run.serve;
	const isOffered = ended.fault.kind !== 'unreachable';
	if (run.body.isTaken() || run.body.fault() !== undefined) {
		return false;
	}

	return services.toRetryBudget(run.route.pool.name).takeRetry({
		...history, repeatable: isRepeatable(run), bytesOffered: isOffered ? 1 : 0, outcome: isOffered ? 'may-have-run' : 'not-run', deadline: run.deadline, expectedMs: 0,
	}, services.clock.now(), services.random).kind === 'retry';
}
