/**
 * Serves completion and chat requests, from reading the body to the end of the
 * answer.
 */
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {createAnswerBuffer} from '../../../domain/create-answer-buffer/index.js';
import {type AnswerHead, type AnswerKind} from '../../../domain/create-sse-encoder/index.js';
import {type CompletionRequest} from '../../../domain/parse-completion-request/index.js';
import {pickVersion} from '../../../domain/pick-version/index.js';
import {toPrefixBlocks} from '../../../domain/to-prefix-blocks/index.js';
import {type Problem} from '../../../domain/to-problem/index.js';
import {msPerSecond} from '../../../ports/units.js';
import {type Account} from '../accounts/index.js';
import {serveKeyed, type KeyedVerdict} from '../claims/index.js';
import {serveCharged} from '../charge-request/index.js';
import {createJsonDelivery, createSseDelivery, type DeliveryOptions} from '../delivery/index.js';
import {createOutcomeLedger} from '../outcome-ledger/index.js';
import {type RunEnd, runRequest, toEnded} from '../run-request/index.js';
import {findIdempotencyKey, toUnclaimedProblem} from '../_lib/find-idempotency-key.js';
import {findOverload, toGateProblem} from '../_lib/problems.js';
import {toKeyedOptions} from '../_lib/to-keyed-options.js';
import {createRunStream} from '../_lib/create-run-stream.js';
import {reportRefused} from '../_lib/report-refused.js';
import {type Route, toHostName, toServedModel} from '../_lib/route.js';
import {openRunControl} from '../_lib/run-registry.js';
import {type ServeContext} from '../_lib/serve-types.js';
import {type Delivery, type Run} from '../_lib/types.js';
import {readRequest, type ParsedRequest} from './_lib/read-request.js';
import {reportEnd, toVerdict} from './_lib/report-end.js';

function createDeliveryFor(exchange: CallerExchange, request: CompletionRequest, ctx: ServeContext): Delivery {
	const head: AnswerHead = {
		kind: request.kind,
		id: `${request.kind === 'chat' ? 'chatcmpl' : 'cmpl'}-${exchange.requestId}`,
		created: Math.floor(ctx.services.clock.wallNow() / msPerSecond),
		model: request.model,
	};
	const options: DeliveryOptions = {head, includesUsage: request.includesUsage, writeTimeoutMs: ctx.limits.writeTimeoutMs};
	return request.stream ? createSseDelivery(exchange, options) : createJsonDelivery(exchange, options);
}

type RunInput = ParsedRequest & {
	exchange: CallerExchange;
	route: Route;
	model: string;
	signal: AbortSignal;
	account: Account;
};

function createRun(input: RunInput, ctx: ServeContext): Run {
	const {exchange, route, request, promptTokens} = input;
	const {clock, random} = ctx.services;
	const {then, name} = route.rule;
	const receivedAt = clock.now();
	const log = ctx.log.with({
		requestId: exchange.requestId, workspace: route.workspace, rule: name, class: then.class, edition: route.edition,
	});
	return {
		id: exchange.requestId,
		workspace: route.workspace,
		rule: route.rule,
		request,
		model: input.model,
		version: pickVersion(then, random),
		promptTokens,
		prefixBlocks: toPrefixBlocks(request.prompt),
		receivedAt,
		firstTokenDeadline: receivedAt + then.target.firstTokenMs,
		deadline: receivedAt + then.target.completeMs,
		signal: input.signal,
		readClose: exchange.readClose,
		buffer: createAnswerBuffer({requestId: exchange.requestId, keepsTokens: then.repeatable || !request.stream}),
		ledger: createOutcomeLedger(),
		delivery: createDeliveryFor(exchange, request, ctx),
		// A caller that comes back joins the run of its key, or begins anew; it never continues the stream of another run.
		stream: createRunStream({origin: undefined}),
		account: input.account,
		log,
	};
}

async function waitForRoom(run: Run, ctx: ServeContext): Promise<RunEnd | undefined> {
	const {gate, clock} = ctx.services;
	const {then} = run.rule;
	const enteredAt = clock.now();
	// A caller that already has part of the answer waits for the rest even past the targets.
	const latest = run.buffer.offset() > 0 ? enteredAt + then.target.completeMs : 0;
	const entered = await gate.enter({
		id: run.id,
		pool: then.pool,
		class: then.class,
		workspace: run.workspace,
		deadline: Math.max(run.deadline, latest),
		firstTokenDeadline: Math.max(run.firstTokenDeadline, latest),
		promptTokens: run.promptTokens,
		maxTokens: run.request.maxTokens,
		queueLimit: then.queueLimit,
	}, run.signal);
	if (entered.isOk()) {
		const waitedMs = clock.now() - enteredAt;
		run.account.addStage('admitted', {waitedMs});
		return undefined;
	}

	run.account.addStage('not admitted', {reason: entered.error.reason});
	return entered.error.reason === 'gone' ? toEnded(run) : {kind: 'failed', problem: toGateProblem(entered.error, run.ledger.outcome())};
}

/** Runs an admitted request, and frees its slot however it ends. */
async function runAdmitted(run: Run, ctx: ServeContext, attempt: number): ReturnType<typeof runRequest> {
	const {gate} = ctx.services;
	let outcome: Parameters<typeof gate.leave>[1] = 'failed';
	try {
		const ended = await runRequest(run, ctx.services, attempt);
		outcome = ended.end.kind === 'complete' ? 'completed' : ended.end.kind;
		return ended;
	} finally {
		gate.leave(run.id, outcome);
	}
}

/**
 * Waits for admission and runs the request; repeats both without a delay while
 * every decode server is full. The gate spaces the attempts. During a delay here
 * nothing would check the request's target, and its caller would learn of a missed
 * target only after the delay, up to twice the target late.
 */
async function runToEnd(run: Run, ctx: ServeContext): Promise<RunEnd> {
	const {clock} = ctx.services;
	let attempt = 1;
	for (;;) {
		const refused = await waitForRoom(run, ctx);
		if (refused !== undefined) {
			return refused;
		}

		const {end, nextAttempt} = await runAdmitted(run, ctx, attempt);
		attempt = nextAttempt;
		if (end.kind !== 'bounced' || clock.now() > run.deadline) {
			return end;
		}

		run.account.addStage('bounced');
	}
}

function deliver(run: Run, end: RunEnd): void {
	if (end.kind === 'complete') {
		run.delivery.complete(end, run.buffer.tokens());
	} else if (end.kind !== 'gone') {
		run.delivery.fail(end.problem);
	}
}

async function runRouted(input: Omit<RunInput, 'signal'>, ctx: ServeContext): Promise<KeyedVerdict> {
	const control = openRunControl(ctx.registry, input.exchange, now => now > run.deadline && run.buffer.offset() === 0);
	const run = createRun({...input, signal: control.signal}, ctx);
	run.account.addStage('routed', {
		workspace: run.workspace, rule: run.rule.name, pool: run.rule.then.pool, class: run.rule.then.class, promptTokens: run.promptTokens, version: run.version,
	});
	run.log.info('request received', {pool: run.rule.then.pool, promptTokens: run.promptTokens});
	try {
		const end = await runToEnd(run, ctx);
		deliver(run, end);
		reportEnd(run, end, ctx);
		return toVerdict(run, end);
	} finally {
		control.close();
	}
}

/**
 * Serves one completion or chat request.
 *
 * @param kind - The endpoint.
 * @param exchange - The caller's request.
 * @param ctx - Services of the entry.
 */
export async function serveCompletion(kind: AnswerKind, exchange: CallerExchange, ctx: ServeContext): Promise<void> {
	const account = ctx.accounts.open(exchange.requestId);
	const refuse = (problem: Problem) => {
		reportRefused(problem, {
			requestId: exchange.requestId, account, route: undefined, headers: exchange.headers,
		}, ctx);
		exchange.sendProblem(problem);
	};

	const overload = findOverload(exchange, ctx);
	if (overload !== undefined) {
		refuse(toUnclaimedProblem(overload, exchange.headers));
		return;
	}

	const parsed = await readRequest(kind, exchange, ctx);
	if (parsed.isErr()) {
		if (parsed.error !== 'gone') {
			refuse(parsed.error);
		}

		return;
	}

	const {request, promptTokens, digest} = parsed.value;
	const routed = ctx.route({
		headers: exchange.headers, path: exchange.path, model: request.model, promptTokens, host: toHostName(exchange.headers.host), random: ctx.services.random,
	}, ctx.services.toView());
	const served = routed.andThen(route => toServedModel(request.model, route).map(model => ({route, model})));
	const ready = served
		.mapErr(problem => toUnclaimedProblem(problem, exchange.headers))
		.andThen(({route, model}) => findIdempotencyKey(exchange, route.rule.then.repeatable).map(key => ({route, model, key})));
	if (ready.isErr()) {
		refuse(ready.error);
		return;
	}

	const {route, model, key} = ready.value;
	const work = async (target: CallerExchange): Promise<KeyedVerdict> => serveCharged(async () => runRouted({
		exchange: target, account, request, promptTokens, route, model,
	}, ctx), {
		route, hints: {promptTokens, maxTokens: request.maxTokens}, account, quotas: ctx.quotas, random: ctx.services.random, countOverLimit: ctx.countOverLimit, refuse,
	});
	await (key === undefined || ctx.claims === undefined
		? work(exchange)
		: serveKeyed(ctx.claims, exchange, {
			workspace: route.workspace, key, digest, isRepeatable: route.rule.then.repeatable,
		}, toKeyedOptions({exchange, account, route}, ctx, work)));
}
