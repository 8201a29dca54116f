/**
 * A plain service's request: rule, room, server, call. The body goes through as
 * it comes; work that may not be repeated is offered once.
 */
import {type Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {type FailedAttempt} from '../../../domain/create-retry-budget/index.js';
import {toForwardHeaders} from '../../../domain/to-forward-headers/index.js';
import {type Problem} from '../../../domain/to-problem/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type ServerId, type ZoneId} from '../../../ports/ids.js';
import {type Outcome} from '../../../ports/outcome.js';
import {bytesPerKibibyte} from '../../../ports/units.js';
import {type Account} from '../accounts/index.js';
import {type KeyedVerdict, serveKeyed} from '../claims/index.js';
import {type PlainEnd, sendPlain} from '../send-plain/index.js';
import {findKey, toDigest} from '../_lib/find-key.js';
import {toKeyedOptions} from '../_lib/keyed.js';
import {createPlainBody, type PlainBody} from '../_lib/plain-body.js';
import {type PlainClients} from '../_lib/plain-clients.js';
import {findOverload, toBodyProblem, toGateProblem} from '../_lib/refuse.js';
import {type Route} from '../_lib/route.js';
import {openRunControl} from '../_lib/run-registry.js';
import {type ServeServices} from '../_lib/serve-types.js';
import {type EndCause} from '../_lib/types.js';

/** Bodies up to this size are read whole first, so that they can be sent again. */
const bufferedBodyBytes = 64 * bytesPerKibibyte;

const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS']);

type PlainRun = {
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

type PlainOutcome = {
	end: 'complete' | 'refused' | 'failed' | 'caller-gone';
	outcome: Outcome;
	/** Sent to the caller unless its answer has begun. */
	problem?: Problem;
};

/** Whether the call may run a second time without harm. */
function isRepeatable(run: Pick<PlainRun, 'exchange' | 'route'>): boolean {
	return run.route.rule.then.repeatable || safeMethods.has(run.exchange.method);
}

/** A body that a key names is read whole, because its digest must be known before the work is claimed. */
async function takeBody(exchange: CallerExchange, serve: ServeServices, isKeyed: boolean): Promise<Result<PlainBody, Problem | 'gone'>> {
	const {maxBodyBytes: limitBytes, bodyTimeoutMs: timeoutMs} = serve.limits;
	const length = exchange.headers['content-length'];
	const hasBody = exchange.headers['transfer-encoding'] !== undefined || Number(length ?? 0) > 0;
	if (Number(length ?? 0) > limitBytes) {
		return err(toBodyProblem('body-too-large', {limitBytes, timeoutMs}));
	}

	if (!hasBody || (!isKeyed && (length === undefined || Number(length) > bufferedBodyBytes))) {
		return ok(createPlainBody(exchange, {hasBody, limitBytes, timeoutMs}));
	}

	const whole = await exchange.readBody({limitBytes, timeoutMs});
	return whole
		.map((bytes: Buffer): PlainBody => ({open: () => bytes, isTaken: () => false, fault: () => undefined}))
		.mapErr(fault => fault === 'gone' ? fault : toBodyProblem(fault, {limitBytes, timeoutMs}));
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

async function callOnce(run: PlainRun, server: ServerEntry): Promise<PlainEnd> {
	const {exchange, serve, clients, body, signal} = run;
	return sendPlain({
		exchange,
		dispatcher: clients.toDispatcher(server),
		server,
		headers: toCallHeaders(run),
		payload: body.open(),
		signal,
		headersTimeoutMs: Math.max(1, run.deadline - serve.services.clock.now()),
		idleTimeoutMs: serve.limits.writeTimeoutMs,
	});
}

function toCutOff(run: PlainRun, wasOffered: boolean): PlainOutcome {
	const outcome: Outcome = wasOffered ? 'may-have-run' : 'not-run';
	switch (run.signal.reason as EndCause) {
		case 'caller-gone': {
			return {end: 'caller-gone', outcome};
		}

		case 'deadline-passed': {
			return {end: wasOffered ? 'failed' : 'refused', outcome, problem: {kind: 'deadline-passed', detail: 'The deadline passed before the answer began.', outcome}};
		}

		case 'stopping': {
			return {end: wasOffered ? 'failed' : 'refused', outcome, problem: {kind: 'stopping', detail: 'This host was stopped before the answer was whole.', outcome}};
		}
	}
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
			kind: 'backend-failed', detail: `Server ${server.id} failed: ${ended.fault.kind}. ${again}`, outcome, ...(outcome === 'not-run' && {retryAfterMs: 1000}),
		},
	};
}

/** Calls one server after the other, until one answers or no further call is allowed. */
async function callServers(run: PlainRun): Promise<PlainOutcome> {
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
		account.note('placed', {attempt, ...picked.value.account()});
		services.placement.noteDispatched(picked.value, services.clock.now());
		const ended = await callOnce(run, server);
		services.placement.noteFinished(picked.value, services.clock.now());
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

async function waitAndCall(run: PlainRun): Promise<PlainOutcome> {
	const {exchange, route, serve, account} = run;
	const {gate} = serve.services;
	const {then} = route.rule;
	const entered = await gate.enter({
		id: exchange.requestId,
		pool: then.pool,
		class: then.class,
		workspace: route.workspace,
		deadline: run.deadline,
		firstTokenDeadline: run.deadline,
		promptTokens: 1,
		maxTokens: 1,
		queueLimit: then.queueLimit,
	}, run.signal);
	if (entered.isErr()) {
		account.note('not admitted', {reason: entered.error.reason});
		return entered.error.reason === 'gone' ? toCutOff(run, false) : {end: 'refused', outcome: 'not-run', problem: toGateProblem(entered.error, 'not-run')};
	}

	let end: Parameters<typeof gate.leave>[1] = 'failed';
	try {
		const called = await callServers(run);
		end = called.end === 'complete' ? 'completed' : (called.end === 'caller-gone' ? 'gone' : 'failed');
		return called;
	} finally {
		gate.leave(exchange.requestId, end);
	}
}

function finish(run: PlainRun, ended: PlainOutcome): void {
	const {exchange, serve, route, account} = run;
	const completeMs = serve.services.clock.now() - run.receivedAt;
	if (ended.problem !== undefined) {
		exchange.sendProblem(ended.problem);
	}

	const reason = ended.problem?.kind ?? ended.end;
	account.note('ended', {outcome: ended.outcome, reason});
	serve.log.info('request ended', {
		requestId: exchange.requestId, workspace: route.workspace, rule: route.rule.name, class: route.rule.then.class, edition: route.edition, outcome: ended.outcome, reason, durationMs: completeMs,
	});
	serve.onEnded({
		workspace: route.workspace, rule: route.rule, end: ended.end, outcome: ended.outcome, firstTokenMs: undefined, completeMs, outputTokens: 0,
	});
}

/**
 * Serves one request to a plain service.
 *
 * @param exchange - The caller's request.
 * @param serve - The program around it.
 * @param clients - Connections to plain services.
 */
export async function servePlain(exchange: CallerExchange, serve: ServeServices, clients: PlainClients): Promise<void> {
	const {services} = serve;
	const receivedAt = services.clock.now();
	const account = serve.accounts.open(exchange.requestId);
	const routed = serve.route({
		headers: exchange.headers, path: exchange.path, model: undefined, promptTokens: 0,
	}, services.toView());
	const early = findOverload(serve) ?? (routed.isErr() ? routed.error : findNotPlain(routed.value));
	const refuse = (problem: Problem | 'gone' | undefined) => {
		if (problem !== undefined && problem !== 'gone') {
			account.note('refused', {kind: problem.kind, outcome: problem.outcome});
			serve.log.info('request refused', {requestId: exchange.requestId, reason: problem.kind, outcome: problem.outcome});
			exchange.sendProblem(problem);
		}
	};

	if (early !== undefined || routed.isErr()) {
		refuse(early);
		return;
	}

	const route = routed.value;
	const key = findKey(exchange, isRepeatable({exchange, route}));
	const body = key.isErr() ? err(key.error) : await takeBody(exchange, serve, key.value !== undefined);
	if (body.isErr() || key.isErr()) {
		refuse(body.isErr() ? body.error : undefined);
		return;
	}

	const work = async (target: CallerExchange) => runRouted({
		exchange: target, route, serve, clients, account, receivedAt, body: body.value, deadline: receivedAt + route.rule.then.target.completeMs,
	});
	await (key.value === undefined
		? work(exchange)
		: serveKeyed(serve.claims, exchange, {
			workspace: route.workspace, key: key.value, digest: toDigest(exchange, toBytes(body.value)), isRepeatable: isRepeatable({exchange, route}),
		}, toKeyedOptions(account, serve, work)));
}

function toBytes(body: PlainBody): Uint8Array {
	const bytes = body.open();
	return bytes instanceof Uint8Array ? bytes : new Uint8Array();
}

async function runRouted(input: Omit<PlainRun, 'signal'>): Promise<KeyedVerdict> {
	const {exchange, route, serve, account, deadline} = input;
	const control = openRunControl(serve.registry, exchange, now => now > deadline && !exchange.isStarted());
	account.note('routed', {
		workspace: route.workspace, rule: route.rule.name, pool: route.pool.name, class: route.rule.then.class,
	});
	serve.log.info('request received', {
		requestId: exchange.requestId, workspace: route.workspace, rule: route.rule.name, class: route.rule.then.class, edition: route.edition, pool: route.pool.name,
	});
	try {
		const run = {...input, signal: control.signal};
		const ended = await waitAndCall(run);
		finish(run, ended);
		return ended.end === 'complete' ? 'complete' : (ended.outcome === 'not-run' ? 'not-run' : 'failed');
	} finally {
		control.close();
	}
}

function findNotPlain(route: Route): Problem | undefined {
	return route.pool.kind === 'plain'
		? undefined
		: {kind: 'not-found', detail: `There is no service at this path: rule "${route.rule.name}" decides, and its pool serves a model. Send completions to /v1/completions.`, outcome: 'not-run'};
}
