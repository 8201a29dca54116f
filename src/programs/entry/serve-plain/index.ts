/**
 * Serves requests to plain services: matches a rule, reads the idempotency key and
 * the body, waits for admission, calls servers, and reports the end. Large bodies
 * without a key are streamed.
 */
import {err, ok, type Result} from 'neverthrow';
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {type Problem} from '../../../domain/to-problem/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServiceClass} from '../../../ports/outcome.js';
import {type Fingerprint, type PartKey} from '../../../ports/ids.js';
import {toFingerprint} from '../../../domain/to-fingerprint/index.js';
import {toPartKeys} from '../../../domain/to-part-keys/index.js';
import {toMinFullPoolRetryAfter, toFullPoolRetryAfter} from '../../../domain/to-full-pool-retry-after/index.js';
import {
	toEarlierWaitMs, toWaitPolicy, type WaitPolicy, type WaitPolicyInput,
} from '../../../domain/to-wait-policy/index.js';
import {
	callServers, createPlainRun, isRepeatable, toAborted, type PlainOutcome, type PlainRun, type PlainRunInput,
} from '../call-plain/index.js';
import {type KeyedVerdict, serveKeyed} from '../claims/index.js';
import {serveCharged} from '../charge-request/index.js';
import {type Gate, type GateRefusal} from '../gate/index.js';
import {openStream} from '../open-stream/index.js';
import {type EndedRequest} from '../_lib/ended-request.js';
import {findIdempotencyKey, toRequestDigest, toUnclaimedProblem} from '../_lib/find-idempotency-key.js';
import {toKeyedOptions} from '../_lib/to-keyed-options.js';
import {type PlainBody} from '../_lib/plain-body.js';
import {type PlainClients} from '../_lib/plain-clients.js';
import {findBehind, findOverload, toGateProblem} from '../_lib/problems.js';
import {toQuarantineProblem} from '../_lib/quarantine.js';
import {reportRefused} from '../_lib/report-refused.js';
import {type Route, toHostName} from '../_lib/route.js';
import {openRunControl, type RunControl} from '../_lib/run-registry.js';
import {type ServeContext} from '../_lib/serve-types.js';
import {readOrStreamBody} from './_lib/read-or-stream-body.js';

type FinalOutcome = PlainOutcome & {end: EndedRequest['end']};

/** Waits for admission and calls servers; repeats both without a delay while every server is full. The gate spaces the attempts. */
async function waitAndCall(run: PlainRun): Promise<FinalOutcome> {
	const {clock} = run.ctx.services;
	for (;;) {
		const wait = toWaitPolicy(toWaitInput(run), clock.now());
		const ended = await enterAndCall(run, wait);
		const {end} = ended;
		if (end !== 'bounced') {
			return {...ended, end};
		}

		run.account.addStage('bounced');
		if (wait.isSingleTry || (ended.capacityAt ?? -Infinity) > wait.latestStart) {
			return toNoCapacity(run, ended.capacityAt);
		}
	}
}

function toWaitInput({route, receivedAt, deadline, work, stream, ctx: {services}}: PlainRun): WaitPolicyInput {
	return {
		then: route.rule.then,
		poolKind: route.pool.kind,
		receivedAt,
		deadline,
		callerTimeoutMs: work.timeoutMs,
		minRetryAfterMs: toMinFullPoolRetryAfter(services.gate.meanHoldMs(route.pool.name)),
		hasPartialAnswer: stream.origin() !== undefined,
	};
}

/** Delay after which a caller may retry at a pool whose memory is full, milliseconds. */
function toRetryAfterMs({route, ctx: {services}}: PlainRun): Milliseconds {
	return toFullPoolRetryAfter(services.gate.meanHoldMs(route.pool.name), services.random);
}

function toNoCapacity(run: PlainRun, capacityAt = -Infinity): FinalOutcome {
	const outcome = run.ledger.outcome();
	const waitMs = capacityAt - run.ctx.services.clock.now();
	return {
		end: outcome === 'not-run' ? 'refused' : 'failed',
		outcome,
		problem: {
			kind: 'no-capacity', detail: 'Every suitable server is full.', outcome, retryAfterMs: Math.max(waitMs, toRetryAfterMs(run)),
		},
	};
}

async function enter(run: PlainRun, wait: WaitPolicy): Promise<Result<void, GateRefusal>> {
	const {exchange, route, ctx} = run;
	return ctx.services.gate.enter({
		id: exchange.requestId,
		pool: route.pool.name,
		class: wait.class,
		workspace: route.workspace,
		deadline: run.deadline,
		firstTokenDeadline: wait.latestStart,
		promptTokens: Math.max(1, run.work.promptTokens),
		maxTokens: Math.max(1, run.work.estimatedTokens ?? run.work.maxTokens),
		queueLimit: route.rule.then.queueLimit,
	}, run.signal);
}

/** The rate at which this host's requests end predicts when a plain service has a free slot. It does not predict when a model pool has free memory, which other hosts fill as well. */
function toWaitProblem(run: PlainRun, refusal: Exclude<GateRefusal, {reason: 'gone'}>, outcome: Problem['outcome']): Problem {
	const problem = toGateProblem(refusal, outcome);
	return run.route.pool.kind === 'model' ? {...problem, retryAfterMs: toRetryAfterMs(run)} : problem;
}

async function enterAndCall(run: PlainRun, wait: WaitPolicy): Promise<PlainOutcome> {
	const {exchange, route, ctx, account} = run;
	const {gate} = ctx.services;
	const entered = await enter(run, wait);
	if (entered.isErr()) {
		account.addStage('not admitted', {reason: entered.error.reason});
		run.log.info('not admitted', {reason: entered.error.reason, pool: route.pool.name, queued: gate.waiting()});
		// An earlier call of the request may have run before this one found every server full.
		const outcome = run.ledger.outcome();
		return entered.error.reason === 'gone' ? toAborted(run) : {end: outcome === 'not-run' ? 'refused' : 'failed', outcome, problem: toWaitProblem(run, entered.error, outcome)};
	}

	let end: Parameters<typeof gate.leave>[1] = 'failed';
	try {
		const called = await callServers(run);
		end = gateEnds[called.end];
		return called;
	} finally {
		gate.leave(exchange.requestId, end);
	}
}

const gateEnds = {
	complete: 'completed', refused: 'failed', failed: 'failed', 'caller-gone': 'gone', bounced: 'bounced',
} as const satisfies Record<PlainOutcome['end'], Parameters<Gate['leave']>[1]>;

/** Sends a problem, or closes the connection if an answer has begun, because a problem document can't follow it and the caller would wait forever for the rest. */
function sendFailure(exchange: CallerExchange, problem: Problem): void {
	if (exchange.isStarted()) {
		exchange.destroy();
	} else {
		exchange.sendProblem(problem);
	}
}

function finish(run: PlainRun, ended: FinalOutcome): void {
	const {exchange, ctx, route, account} = run;
	const completeMs = ctx.services.clock.now() - run.receivedAt;
	if (ended.problem !== undefined) {
		sendFailure(exchange, ended.problem);
	}

	const reason = ended.problem?.kind ?? ended.end;
	const firstTokenMs = run.firstByteAt === undefined ? undefined : run.firstByteAt - run.receivedAt;
	account.addStage('ended', {outcome: ended.outcome, reason});
	ctx.log.info('request ended', {
		requestId: exchange.requestId, workspace: route.workspace, rule: route.rule.name, class: route.rule.then.class, edition: route.edition, outcome: ended.outcome, reason, durationMs: Math.round(completeMs), firstTokenMs: firstTokenMs && Math.round(firstTokenMs), count: run.bounces, ageMs: toEarlierWaitMs(toWaitInput(run)),
	});
	ctx.onEnded({
		workspace: route.workspace, rule: route.rule, end: ended.end, outcome: ended.outcome, firstTokenMs, completeMs, outputTokens: 0,
	});
}

/**
 * Serves one request to a plain service.
 *
 * @param exchange - The caller's request.
 * @param ctx - Services of the entry.
 * @param clients - HTTP clients of plain services.
 */
export async function servePlain(exchange: CallerExchange, ctx: ServeContext, clients: PlainClients): Promise<void> {
	const {services} = ctx;
	const {receivedAt} = exchange;
	const account = ctx.accounts.open(exchange.requestId);
	const work = ctx.calls.parseHints(exchange.headers);
	const routed = ctx.route({
		headers: exchange.headers, host: toHostName(exchange.headers.host), path: exchange.path, model: work.model, promptTokens: work.promptTokens, random: services.random,
	}, services.toView());
	const refusal = findOverload(exchange, ctx) ?? findBehind(exchange, ctx) ?? (routed.isErr() ? routed.error : findNotPlain(routed.value));
	const refuse = (problem: Problem | 'gone' | undefined, concerned: {fingerprint?: Fingerprint | undefined; parts?: readonly PartKey[]} = {}) => {
		if (problem !== undefined && problem !== 'gone') {
			reportRefused(problem, {
				requestId: exchange.requestId, account, route: routed.unwrapOr(undefined), headers: exchange.headers, ...concerned,
			}, ctx);
			exchange.sendProblem(problem);
		}
	};

	if (refusal !== undefined || routed.isErr()) {
		refuse(refusal && toUnclaimedProblem(refusal, exchange.headers));
		return;
	}

	const route = routed.value;
	const {relay, target} = route.rule.then;
	const key = relay === undefined ? findIdempotencyKey(exchange, isRepeatable({exchange, route})) : ok<string | undefined, Problem>(undefined);
	const body = key.isErr() ? err(key.error) : await readOrStreamBody(exchange, ctx, relay !== undefined || key.value !== undefined);
	if (body.isErr() || key.isErr()) {
		refuse(body.isErr() ? body.error : undefined);
		return;
	}

	const fingerprint = toFingerprintOf(exchange, route, body.value);
	if (fingerprint !== undefined && ctx.suspects.isQuarantined(fingerprint, services.clock.now())) {
		ctx.suspects.noteRefused(fingerprint, services.clock.now());
		refuse(toUnclaimedProblem(toQuarantineProblem('request', 'not-run'), exchange.headers), {fingerprint});
		return;
	}

	const log = ctx.log.with({requestId: exchange.requestId});
	const opened = await openStream({
		exchange, route, work, ctx, account, log,
	});
	if (opened.isErr()) {
		refuse(toUnclaimedProblem(opened.error, exchange.headers));
		return;
	}

	const deadline = receivedAt + Math.min(target.completeMs, work.timeoutMs ?? Infinity, exchange.passed?.deadlineInMs ?? Infinity);
	const parts = toPartKeys(work.sharedParts, {pool: opened.value.route.pool.name, model: work.model});
	const verdict = ctx.partQuarantine.decide(parts, services.clock.now());
	if (verdict.kind === 'refuse') {
		refuse(toUnclaimedProblem(toQuarantineProblem('parts', 'not-run'), exchange.headers), {fingerprint, parts: verdict.blamed.parts});
		return;
	}

	const isTrial = verdict.kind === 'trial';
	if (isTrial) {
		log.info('trial of quarantined prompt parts', {parts: verdict.blamed.parts.join(' ')});
	}

	const run = async (caller: CallerExchange): Promise<KeyedVerdict> => runRouted({
		exchange: caller, ...opened.value, ctx, clients, account, log, receivedAt, work, body: body.value, deadline, fingerprint, parts, isTrial,
	});
	// The host that passed a request on has charged it.
	const serveOne = async (caller: CallerExchange): Promise<KeyedVerdict> => caller.passed === undefined
		? serveCharged(async () => run(caller), {
			route, hints: work, account, quotas: ctx.quotas, random: services.random, countOverLimit: ctx.countOverLimit, refuse,
		})
		: run(caller);
	await (key.value === undefined || ctx.claims === undefined
		? serveOne(exchange)
		: serveKeyed(ctx.claims, exchange, {
			workspace: route.workspace, key: key.value, digest: toRequestDigest(exchange, body.value.bytes() ?? new Uint8Array()), isRepeatable: isRepeatable({exchange, route}),
		}, {...toKeyedOptions({exchange, account, route}, ctx, serveOne), isOpaque: true}));
}

/** Computes the fingerprint of a request; a streamed body has none. */
function toFingerprintOf({headers, method, target}: CallerExchange, {workspace}: Route, body: PlainBody): Fingerprint | undefined {
	const bytes = body.bytes();
	return bytes && toFingerprint({
		workspace, method, host: headers.host, target, body: bytes,
	});
}

async function runRouted(input: Omit<PlainRunInput, 'signal'>): Promise<KeyedVerdict> {
	const {
		exchange, route, ctx, account, work, deadline, fingerprint, parts,
	} = input;
	const control = openRunControl(ctx.registry, exchange, now => now > deadline && !exchange.isStarted());
	const timer = route.rule.then.relay === undefined ? undefined : abortAfter(control, deadline - ctx.services.clock.now());
	account.addStage('routed', {
		workspace: route.workspace, rule: route.rule.name, pool: route.pool.name, class: route.rule.then.class, isAuthenticated: route.isAuthenticated,
	});
	ctx.log.info('request received', {
		requestId: exchange.requestId, workspace: route.workspace, rule: route.rule.name, class: route.rule.then.class, edition: route.edition, pool: route.pool.name, fingerprint, ...(parts.length > 0 && {parts: parts.join(' ')}), ...work.resumption,
	});
	try {
		const run = createPlainRun({...input, signal: control.signal});
		const ended = await waitAndCall(run);
		finish(run, ended);
		return ended.end === 'complete' ? 'complete' : (ended.outcome === 'not-run' ? 'not-run' : 'failed');
	} finally {
		clearTimeout(timer);
		control.close();
	}
}

/** Aborts a run at its deadline. The timeouts of HTTP clients fire up to half a second late, which is too coarse for a caller's deadline. */
function abortAfter(control: RunControl, delayMs: Milliseconds): NodeJS.Timeout {
	return setTimeout(() => {
		control.abort('deadline-passed');
	}, delayMs);
}

function findNotPlain(route: Route): Problem | undefined {
	return route.pool.kind === 'plain' || route.rule.then.relay !== undefined
		? undefined
		: {kind: 'not-found', detail: `There is no service at this path: rule "${route.rule.name}" matches it, and its pool serves a model. Send completions to /v1/completions.`, outcome: 'not-run'};
}
