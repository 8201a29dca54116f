/**
 * A plain service's request: rule, key, body, room, calls, end. The body goes
 * through as it comes.
 */
import {type Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {type Problem} from '../../../domain/to-problem/index.js';
import {bytesPerKibibyte} from '../../../ports/units.js';
import {
	callServers, isRepeatable, toCutOff, type PlainOutcome, type PlainRun,
} from '../call-plain/index.js';
import {type KeyedVerdict, serveKeyed} from '../claims/index.js';
import {createOutcomeLedger} from '../outcome-ledger/index.js';
import {findKey, toDigest, toUnclaimed} from '../_lib/find-key.js';
import {toKeyedOptions} from '../_lib/keyed.js';
import {createPlainBody, type PlainBody} from '../_lib/plain-body.js';
import {type PlainClients} from '../_lib/plain-clients.js';
import {findOverload, toBodyProblem, toGateProblem} from '../_lib/refuse.js';
import {reportRefused} from '../_lib/report-refused.js';
import {type Route} from '../_lib/route.js';
import {openRunControl} from '../_lib/run-registry.js';
import {type ServeServices} from '../_lib/serve-types.js';

/** Bodies up to this size are read whole first, so that they can be sent again. */
const bufferedBodyBytes = 64 * bytesPerKibibyte;

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

async function waitAndCall(run: PlainRun): Promise<PlainOutcome> {
	const {exchange, route, serve, account} = run;
	const {gate, clock} = serve.services;
	const {then} = route.rule;
	const entered = await gate.enter({
		id: exchange.requestId,
		pool: then.pool,
		class: then.class,
		workspace: route.workspace,
		deadline: run.deadline,
		// From here and not from its arrival: the time for which a caller sent its body says nothing of the pool.
		firstTokenDeadline: Math.min(run.deadline, clock.now() + then.target.firstTokenMs),
		promptTokens: 1,
		maxTokens: 1,
		queueLimit: then.queueLimit,
	}, run.signal);
	if (entered.isErr()) {
		account.note('not admitted', {reason: entered.error.reason});
		return entered.error.reason === 'gone' ? toCutOff(run) : {end: 'refused', outcome: 'not-run', problem: toGateProblem(entered.error, 'not-run')};
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
			reportRefused(problem, {
				requestId: exchange.requestId, account, route: routed.unwrapOr(undefined), headers: exchange.headers,
			}, serve);
			exchange.sendProblem(problem);
		}
	};

	if (early !== undefined || routed.isErr()) {
		refuse(early && toUnclaimed(early, exchange.headers));
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
		}, toKeyedOptions({exchange, account, route}, serve, work)));
}

function toBytes(body: PlainBody): Uint8Array {
	const bytes = body.open();
	return bytes instanceof Uint8Array ? bytes : new Uint8Array();
}

async function runRouted(input: Omit<PlainRun, 'signal' | 'ledger'>): Promise<KeyedVerdict> {
	const {exchange, route, serve, account, deadline} = input;
	const control = openRunControl(serve.registry, exchange, now => now > deadline && !exchange.isStarted());
	account.note('routed', {
		workspace: route.workspace, rule: route.rule.name, pool: route.pool.name, class: route.rule.then.class,
	});
	serve.log.info('request received', {
		requestId: exchange.requestId, workspace: route.workspace, rule: route.rule.name, class: route.rule.then.class, edition: route.edition, pool: route.pool.name,
	});
	try {
		const run = {...input, signal: control.signal, ledger: createOutcomeLedger()};
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
