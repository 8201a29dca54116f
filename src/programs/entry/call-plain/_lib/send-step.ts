/** Sends one step of a relayed request to one server. */
import {type Dispatcher} from 'undici';
import {type SilenceLimit} from '../../../../adapters/_lib/dispatch-call/index.js';
import {toForeignMessage} from '../../../../adapters/_lib/read-answer/index.js';
import {judgeAnswerOwner, type AnswerOwner} from '../../../../domain/judge-answer-owner/index.js';
import {toStreamOrigin} from '../../../../domain/create-stream-binding/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type ServerEntry} from '../../../../ports/config.js';
import {type EngineRefusalReason} from '../../../../ports/engine.js';
import {type ServerId} from '../../../../ports/ids.js';
import {type LinkCall} from '../../../../ports/reach.js';
import {type CallStep, type AnswerHeaders} from '../../../../ports/server-calls.js';
import {type StreamOrigin} from '../../../../ports/stream-origins.js';
import {type PlainEnd, type PlainFault, sendPlain} from '../../send-plain/index.js';
import {noteStatedLimit} from '../../_lib/note-stated-limit.js';
import {
	entryLifetimeMs, findQuarantine, noteRunEnd, noteServerEnded, type QuarantineCause,
} from '../../_lib/quarantine.js';
import {toOriginHeader} from '../../_lib/passed-headers.js';
import {findNoRetryReason} from './decide-retry.js';
import {hasServerForRetry} from './has-server-for-retry.js';
import {toRunEnd} from './to-run-end.js';
import {type PlainRun} from './types.js';

/** Timeout of an answer's head, as a multiple of the first-token target: three times as long as an answer within the target takes. */
const headTimeoutFactor = 3;

/** Silence within a stream after which another server continues it, as a multiple of the per-token target. Callers disconnect after eight times that target, so another server must continue before. */
const silenceFactor = 5;

/** Lowest status with which a service reports that it failed. */
const minServerErrorStatus = 500;

/** Time left until the deadline, at least 1 ms. */
export function toRemainingMs({deadline, ctx}: PlainRun): Milliseconds {
	return Math.max(1, deadline - ctx.services.clock.now());
}

/**
 * @param run - The request.
 * @param server - Server to call.
 * @param step - Step that the server is asked to do.
 * @returns Headers of the call.
 */
export function toCallHeaders(run: PlainRun, server: ServerEntry, step: CallStep): Record<string, string | string[]> {
	const {exchange, ctx} = run;
	return ctx.calls.toHeaders({
		headers: exchange.headers, workspace: run.route.workspace, isAuthenticated: run.route.isAuthenticated, requestId: exchange.requestId, server, step, deadlineInMs: toRemainingMs(run),
	});
}

/**
 * Decides whether an answer belongs to a call of a request.
 *
 * @param run - The request.
 * @param kind - What the call asked for.
 * @param answer - Status of the answer, and headers by lower-case name.
 * @returns The owner.
 */
export function toAnswerOwner({ctx, exchange: {requestId}, route}: PlainRun, kind: 'run' | 'named', {status, headers}: {status: number; headers: AnswerHeaders}): AnswerOwner {
	const isShared = route.pool.kind === 'model' && ctx.calls.caches !== undefined;
	return judgeAnswerOwner({kind, name: requestId, isShared}, ctx.calls.readMarks?.(status, headers));
}

/**
 * Picks the connections for a call that sends the request. On a connection that has
 * carried the request before, a copy of the earlier answer would name it too, so a
 * second call to a server gets a connection of its own.
 *
 * @param run - The request; the server is noted as one that was sent it.
 * @param server - Server to call.
 * @returns Dispatcher for one call.
 */
export function toRequestDispatcher({clients, sentTo}: PlainRun, server: ServerEntry): Pick<Dispatcher, 'dispatch'> {
	const isSentBefore = sentTo.has(server.id);
	sentTo.add(server.id);
	return isSentBefore ? clients.createConnection() : clients.toDispatcher(server);
}

/**
 * Checks the head of an answer.
 *
 * @param run - The request.
 * @param status - Status of the answer.
 * @param headers - Its headers by lower-case name.
 * @returns Why the answer is not relayed; `undefined` if it is.
 */
export function findHeadFault(run: PlainRun, status: number, headers: AnswerHeaders): PlainFault | undefined {
	const owner = toAnswerOwner(run, 'run', {status, headers});
	if (owner.kind === 'foreign') {
		return {kind: 'invalid', message: toForeignMessage(status, owner)};
	}

	const reason = run.ctx.calls.toRefusal(status, headers);
	if (reason !== undefined) {
		return {
			kind: 'refused', reason, message: `status ${status}`, isReusable: owner.isReusable,
		};
	}

	// Once the caller has part of a stream, only the rest of that stream can follow.
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
 * Records that a server answered, which clears it of a suspected crash. A refusal
 * as `wrong-model` does not count, because another server has taken over the
 * address and sent it.
 *
 * @param run - The request.
 * @param answer - The server, the monotonic time at which the call began, and the reason of a refusal.
 */
export function noteAnswered({ctx}: PlainRun, {server, calledAt, refusal}: {server: ServerId; calledAt: Milliseconds; refusal: EngineRefusalReason | undefined}): void {
	if (refusal === 'wrong-model') {
		return;
	}

	ctx.partQuarantine.suspects.noteAnswered(server, calledAt);
	for (const fingerprint of ctx.suspects.noteAnswered(server, calledAt)) {
		ctx.log.info('server survived a run that ended without proof', {fingerprint, server});
	}
}

/**
 * Handles what a server states about itself in an answer to the call.
 *
 * @param run - The request.
 * @param server - The server that was called.
 * @param answer - Status and headers of its answer, and the monotonic time at which the call began.
 */
export function handleAnswerNotice({ctx}: PlainRun, server: ServerEntry, answer: {status: number; headers: AnswerHeaders; calledAt: Milliseconds}): void {
	const {status, headers} = answer;
	const notice = ctx.calls.readNotice?.(status, headers);
	if (notice !== undefined) {
		ctx.handleNotice(server, notice);
	}

	noteStatedLimit(ctx, server, answer);
}

/**
 * Finds whether a request is quarantined because servers crashed under it, or under
 * parts of its prompt. On a host that comes back, waits until other hosts have told
 * what happened meanwhile.
 *
 * @param run - The request.
 * @returns Why it may not be sent to a server; `undefined` if it may.
 */
export async function findRunQuarantine(run: PlainRun): Promise<QuarantineCause | undefined> {
	const {suspects, partQuarantine, services, untilCaughtUp} = run.ctx;
	await untilCaughtUp?.();
	return findQuarantine(run, {suspects, partQuarantine, now: services.clock.now()});
}

/**
 * Notes that a server answered, so that the pool can be reached.
 *
 * @param run - The request.
 * @param link - The call.
 */
export function noteLinkAnswer({unreached, ctx}: PlainRun, link: LinkCall | undefined): void {
	unreached.clear();
	link?.answer(ctx.services.clock.now());
}

/**
 * Notes the end of a call. Without an answer, it tells about the link to the
 * server unless the request itself was aborted.
 *
 * @param run - The request.
 * @param link - The call.
 */
export function noteLinkEnd({signal, ctx}: PlainRun, link: LinkCall | undefined): void {
	if (signal.aborted) {
		link?.abandon(ctx.services.clock.now());
	} else {
		link?.fail();
	}
}

/**
 * Notes that a server has ended, if its address refuses connections. A leaving
 * server has ended as planned.
 *
 * @param run - The request.
 * @param server - The server that was called.
 * @param ended - How the call ended.
 */
export function noteRefusedConnection({ctx: {services, suspects, partQuarantine, log}}: PlainRun, {id}: ServerEntry, ended: PlainEnd): void {
	const isRefused = ended.kind === 'failed' && ended.fault.kind === 'unreachable' && ended.fault.isRefused === true;
	if (isRefused && services.toView()?.servers.get(id)?.leaving === false) {
		const now = services.clock.now();
		noteServerEnded(id, {from: now - entryLifetimeMs, to: now}, {
			suspects, partQuarantine, now, log,
		});
	}
}

/**
 * Sends the request and relays the answer.
 *
 * @param run - The request.
 * @param server - Server to call.
 * @param step - Step that the server is asked to do.
 * @param onFirst - Called at the head of an answer that does not report a failure of the server.
 * @returns How the call ended; after `failed` nothing has been relayed.
 */
export async function sendRequest(run: PlainRun, server: ServerEntry, step: CallStep, onFirst: () => void): Promise<PlainEnd> {
	const {ctx} = run;
	const calledAt = ctx.services.clock.now();
	const link = ctx.reach?.openCall(run.route.pool.name);
	const ended = await sendTo(run, {
		server: server.id,
		url: server.url,
		toOrigin: () => toStreamOrigin(server),
		dispatcher: toRequestDispatcher(run, server),
		headers: toCallHeaders(run, server, step),
		findFault(status, headers) {
			noteLinkAnswer(run, link);
			const fault = findHeadFault(run, status, headers);
			// What an answer to another call states may no longer hold.
			if (fault?.kind !== 'invalid') {
				handleAnswerNotice(run, server, {status, headers, calledAt});
				noteAnswered(run, {server: server.id, calledAt, refusal: fault?.kind === 'refused' ? fault.reason : undefined});
			}

			return fault;
		},
		onFirst,
	});
	noteLinkEnd(run, link);
	noteRunEnd({
		fingerprint: run.fingerprint, parts: run.parts, server: server.id, startedAt: calledAt, end: toRunEnd(ended),
	}, ctx);
	noteRefusedConnection(run, server, ended);
	return ended;
}

/** Where a request is sent. */
export type Destination = {
	/** The server; `undefined` for another host. */
	server?: ServerId;
	/** Origin of the server, or of another host. */
	url: string;
	dispatcher: Pick<Dispatcher, 'dispatch'>;
	headers: Record<string, string | string[]>;
	/** Origin of the answer's events, called after its head was accepted; `undefined` if another host does not tell it. */
	toOrigin: () => StreamOrigin | undefined;
	/** Checks the head of the answer; a fault ends the call, and nothing of the answer is relayed. */
	findFault: (status: number, headers: AnswerHeaders) => PlainFault | undefined;
	/** Called at the head of an answer that does not report a failure of the server. */
	onFirst?: () => void;
};

/**
 * Sends the request to a server or to another host, and relays the answer.
 *
 * @param run - The request.
 * @param destination - See {@link Destination}.
 * @returns How the call ended; after `failed` nothing has been relayed.
 */
export async function sendTo(run: PlainRun, {server, findFault, onFirst, toOrigin, ...destination}: Destination): Promise<PlainEnd> {
	const {exchange, ctx, body} = run;
	await exchange.readClose();
	const headTimeout = createHeadTimeout(run, server);
	const ended = await sendPlain({
		...destination,
		exchange,
		payload: body.open(),
		events: run.events,
		onEvents() {
			run.stream.noteEvents(toOrigin());
		},
		addedHeaders: exchange.passed === undefined ? {} : toOriginHeader(toOrigin()),
		signal: headTimeout.signal,
		headersTimeoutMs: toRemainingMs(run),
		idleTimeoutMs: ctx.limits.writeTimeoutMs,
		...(run.events !== undefined && {silence: toSilenceLimit(run, server)}),
		checkHead(status, headers) {
			headTimeout.end();
			return findFault(status, headers);
		},
		onStart(status) {
			ctx.services.gate.noteFirstToken(exchange.requestId);
			run.firstByteAt ??= ctx.services.clock.now();
			if (status < minServerErrorStatus) {
				onFirst?.();
			}
		},
	});
	headTimeout.end();
	if (ended.kind !== 'failed' || ended.fault.kind !== 'aborted' || run.signal.aborted) {
		return ended;
	}

	return {kind: 'failed', fault: {kind: ended.fault.isUnsent === true ? 'unreachable' : 'broken', message: 'the server did not begin its answer in time'}};
}

/** Ends a silent stream only while another attempt may continue it: a stream that is cut without one is lost to its caller, though its server may go on. */
function toSilenceLimit(run: PlainRun, server: ServerId | undefined): SilenceLimit {
	return {
		afterMs: run.route.rule.then.target.perTokenMs * silenceFactor,
		mayEnd: () => !run.stream.hasUnknownOrigin() && findNoRetryReason(run) === undefined && hasServerForRetry(run, server),
	};
}

/**
 * Aborts a call whose server sends no head within several times the first-token
 * target, if the request may be retried and another server is left for it. Without this timeout, a server behind a
 * network partition or a dead kept-alive connection would hold the request until
 * its caller disconnects.
 */
function createHeadTimeout(run: PlainRun, server: ServerId | undefined): {signal: AbortSignal; end: () => void} {
	if (findNoRetryReason(run) !== undefined) {
		return {signal: run.signal, end: () => undefined};
	}

	const silent = new AbortController();
	const timer = setInterval(() => {
		if (hasServerForRetry(run, server)) {
			silent.abort();
		}
	}, run.route.rule.then.target.firstTokenMs * headTimeoutFactor);
	return {
		signal: AbortSignal.any([run.signal, silent.signal]),
		end() {
			clearInterval(timer);
		},
	};
}
