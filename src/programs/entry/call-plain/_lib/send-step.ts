/** One step of a passed-on request at one server. */
import {type Milliseconds} from '../../../../ports/clock.js';
import {type ServerEntry} from '../../../../ports/config.js';
import {type EngineRefusalReason} from '../../../../ports/engine.js';
import {type ServerId} from '../../../../ports/ids.js';
import {type CallStep, type AnswerHeaders} from '../../../../ports/server-calls.js';
import {type PlainEnd, type PlainFault, sendPlain} from '../../send-plain/index.js';
import {findNoRetryReason} from './decide-retry.js';
import {type PlainRun} from './types.js';

/** Targets of silence after which another server is tried: three times as long as answers that are in time take at most. */
const headTimeoutFactor = 3;

/** Pauses on time of silence within a stream after which another server goes on; callers leave after eight. */
const idleTimeoutFactor = 5;

/** The least status by which a service says that it failed. */
const minServerErrorStatus = 500;

/** Time left until nobody wants the answer, 1 ms at least. */
export function toRemainingMs({deadline, ctx}: PlainRun): Milliseconds {
	return Math.max(1, deadline - ctx.services.clock.now());
}

/**
 * @param run - The request.
 * @param server - Where it goes.
 * @param step - What the server is asked for.
 * @returns The headers of the call.
 */
export function toCallHeaders(run: PlainRun, server: ServerEntry, step: CallStep): Record<string, string | string[]> {
	const {exchange, ctx} = run;
	return ctx.calls.toHeaders({
		headers: exchange.headers, workspace: run.route.workspace, requestId: exchange.requestId, server, step, deadlineInMs: toRemainingMs(run),
	});
}

/**
 * Finds what is wrong with an answer by its head.
 *
 * An answer of another request on a kept connection is what a server sends that
 * answers twice or late: relayed, one caller would read what another asked for.
 */
function findHeadFault(run: PlainRun, status: number, headers: AnswerHeaders): PlainFault | undefined {
	const {calls} = run.ctx;
	if (!calls.isAnswerTo(run.exchange.requestId, headers)) {
		return {kind: 'invalid', message: `status ${status}, the answer of another request`};
	}

	const reason = calls.toRefusal(status, headers);
	if (reason !== undefined) {
		return {kind: 'refused', reason, message: `status ${status}`};
	}

	// Another answer than a stream has no place behind the part that the caller has.
	const isMisfit = run.events?.hasBegun === true && status !== 200;
	if (!isMisfit && status < minServerErrorStatus) {
		return undefined;
	}

	const noRetryReason = isMisfit ? undefined : findNoRetryReason(run);
	if (noRetryReason === undefined) {
		return {kind: 'failed-answer', message: `status ${status}`};
	}

	run.log.info('failed answer passed on', {status, attempt: run.tried.length + 1, reason: noRetryReason});
	return undefined;
}

/**
 * Notes that a server answered. A refusal as another server is the word of the
 * one that has the address now.
 *
 * @param run - The request.
 * @param answer - The server, when the call began, and why the server refused it if it did.
 */
export function noteAnswered({ctx}: PlainRun, {server, calledAt, refusal}: {server: ServerId; calledAt: Milliseconds; refusal: EngineRefusalReason | undefined}): void {
	if (refusal !== 'wrong-model') {
		ctx.suspects.noteAnswered(server, calledAt);
	}
}

/**
 * Takes what a server says of itself in an answer.
 *
 * @param run - The request.
 * @param server - The server that was called.
 * @param answer - Status and headers of its answer.
 */
export function handleAnswerNotice({ctx}: PlainRun, server: ServerEntry, {status, headers}: {status: number; headers: AnswerHeaders}): void {
	const notice = ctx.calls.readNotice?.(status, headers);
	if (notice !== undefined) {
		ctx.handleNotice(server, notice);
	}
}

/**
 * Tells whether the request is not to be run any more, as servers crashed under it.
 *
 * @param run - The request.
 * @returns `true` from the crash that was one too many, at whichever host it was.
 */
export function isQuarantined({fingerprint, ctx}: PlainRun): boolean {
	return fingerprint !== undefined && ctx.suspects.isQuarantined(fingerprint, ctx.services.clock.now());
}

/**
 * Sends the request and relays the answer.
 *
 * @param run - The request.
 * @param server - Where it goes.
 * @param step - What the server is asked for.
 * @param onFirst - Told of the head of an answer that is no fault of the server.
 * @returns How it ended; after `failed` nothing has been relayed.
 */
export async function sendRequest(run: PlainRun, server: ServerEntry, step: CallStep, onFirst: () => void): Promise<PlainEnd> {
	const {exchange, ctx, clients, body} = run;
	const headTimeout = createHeadTimeout(run);
	const calledAt = ctx.services.clock.now();
	const ended = await sendPlain({
		exchange,
		dispatcher: clients.toDispatcher(server),
		server,
		headers: toCallHeaders(run, server, step),
		payload: body.open(),
		events: run.events,
		signal: headTimeout.signal,
		headersTimeoutMs: toRemainingMs(run),
		idleTimeoutMs: run.events === undefined ? ctx.limits.writeTimeoutMs : run.route.rule.then.target.perTokenMs * idleTimeoutFactor,
		checkHead(status, headers) {
			headTimeout.end();
			handleAnswerNotice(run, server, {status, headers});
			const fault = findHeadFault(run, status, headers);
			noteAnswered(run, {server: server.id, calledAt, refusal: fault?.kind === 'refused' ? fault.reason : undefined});
			return fault;
		},
		onStart(status) {
			ctx.services.gate.noteFirstToken(exchange.requestId);
			run.firstByteAt ??= ctx.services.clock.now();
			if (status < minServerErrorStatus) {
				onFirst();
			}
		},
	});
	headTimeout.end();
	const isSilent = ended.kind === 'failed' && ended.fault.kind === 'aborted' && !run.signal.aborted;
	return isSilent ? {kind: 'failed', fault: {kind: 'broken', message: 'the server was silent'}} : ended;
}

/**
 * Ends a call whose server is silent for several times the target, if the
 * request may go to another server. A server behind a cut, or a kept connection
 * that went dead, would hold it until its caller leaves.
 */
function createHeadTimeout(run: PlainRun): {signal: AbortSignal; end: () => void} {
	if (findNoRetryReason(run) !== undefined) {
		return {signal: run.signal, end: () => undefined};
	}

	const silent = new AbortController();
	const timer = setTimeout(() => {
		silent.abort();
	}, run.route.rule.then.target.firstTokenMs * headTimeoutFactor);
	return {
		signal: AbortSignal.any([run.signal, silent.signal]),
		end() {
			clearTimeout(timer);
		},
	};
}
