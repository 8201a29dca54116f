/**
 * The calls of an admitted plain request: one server after the other, until one
 * answers or no further call is allowed. Work that may not be repeated is
 * offered once.
 */
import {type CallFault} from '../../../adapters/_lib/dispatch-call/index.js';
import {type PlainPlacement} from '../../../domain/create-placement/index.js';
import {type FailedAttempt} from '../../../domain/create-retry-budget/index.js';
import {toForwardHeaders} from '../../../domain/to-forward-headers/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type ServerId} from '../../../ports/ids.js';
import {type PlainEnd, sendPlain} from '../send-plain/index.js';
import {notePlaced} from '../_lib/note-placed.js';
import {waitAwake} from '../_lib/wait-awake.js';
import {toCutOff, toGivenUp, toNotPlaced} from './_lib/to-plain-outcome.js';
import {type PlainOutcome, type PlainRun} from './_lib/types.js';

export {toCutOff} from './_lib/to-plain-outcome.js';
export {type PlainOutcome, type PlainRun} from './_lib/types.js';

type Tried = FailedAttempt['tried'][number];

/** The least status by which a service says that it failed. */
const firstServerFault = 500;

const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS']);

/**
 * Tells whether the call may run a second time without harm.
 *
 * @param run - The caller's request and its rule.
 * @returns `true` if the rule says so, and for methods that change nothing.
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

/** Where every server has failed this request once, one of them is asked again: the retry budget bounds it, its backoff spaces it. */
function pickElsewhere(run: PlainRun, tried: readonly Tried[]) {
	const picked = pickServer(run, new Set(tried.map(({server}) => server)));
	return picked.isErr() && picked.error.reason === 'no-server' && tried.length > 0 ? pickServer(run, new Set()) : picked;
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
 * Calls servers until one answers or no further call is allowed.
 *
 * @param run - The admitted request.
 * @returns How it ended; a problem in it has not been sent.
 */
export async function callServers(run: PlainRun): Promise<PlainOutcome> {
	const {services} = run.serve;
	const tried: Tried[] = [];
	for (let attempt = 1; ; attempt++) {
		const picked = pickElsewhere(run, tried);
		if (picked.isErr()) {
			run.account.note('not placed', {...picked.error.account(), reason: picked.error.reason});
			return toNotPlaced(run, picked.error);
		}

		const {server} = picked.value;
		const ended = await callPlaced(run, picked.value, attempt);
		if (ended.kind === 'complete') {
			services.toRetryBudget(run.route.pool.name).noteSuccess(services.clock.now());
			return {end: 'complete', outcome: 'ran'};
		}

		if (run.signal.aborted) {
			return toCutOff(run);
		}

		if (ended.kind === 'caller-gone' || ended.kind === 'cut') {
			run.exchange.destroy();
			return {end: ended.kind === 'cut' ? 'failed' : 'caller-gone', outcome: run.ledger.outcome()};
		}

		noteFailed(run, server, ended.fault, attempt);
		tried.push({server: server.id, zone: server.zone});
		const again = decideAgain(run, ended.fault, {attempt, tried});
		if (again.kind === 'give-up') {
			return toGivenUp(run, server, ended.fault);
		}

		await waitAwake(run, again.delayMs);
		if (run.signal.aborted) {
			return toCutOff(run);
		}
	}
}

/** One call, with what it does to the account, the ledger and the server's standing. */
async function callPlaced(run: PlainRun, picked: PlainPlacement, attempt: number): Promise<PlainEnd> {
	const {account, ledger, route} = run;
	const {clock, placement} = run.serve.services;
	const placed = notePlaced(account, picked, {attempt, pool: route.pool.name, chosen: [picked.server.id]});
	placement.noteDispatched(placed, clock.now());
	ledger.noteOffered();
	const ended = await callOnce(run, placed);
	placement.noteFinished(placed, clock.now());
	if (ended.kind === 'failed' && ended.fault.kind === 'unreachable') {
		ledger.noteNotStarted();
	}

	return ended;
}

function noteFailed(run: PlainRun, server: ServerEntry, fault: CallFault, attempt: number): void {
	const {services} = run.serve;
	services.placement.noteFailure(server, {kind: fault.kind, reason: undefined}, services.clock.now());
	run.account.note('attempt failed', {
		attempt, server: server.id, failure: fault.kind, message: fault.message,
	});
}

type Again = {kind: 'give-up'} | {kind: 'retry'; delayMs: Milliseconds};

function decideAgain(run: PlainRun, fault: CallFault, history: Pick<FailedAttempt, 'attempt' | 'tried'>): Again {
	const {services} = run.serve;
	const isOffered = fault.kind !== 'unreachable';
	if (run.body.isTaken() || run.body.fault() !== undefined) {
		return {kind: 'give-up'};
	}

	return services.toRetryBudget(run.route.pool.name).takeRetry({
		...history, repeatable: isRepeatable(run), bytesOffered: isOffered ? 1 : 0, outcome: isOffered ? 'may-have-run' : 'not-run', deadline: run.deadline, expectedMs: 0,
	}, services.clock.now(), services.random);
}
