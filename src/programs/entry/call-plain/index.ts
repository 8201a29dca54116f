/**
 * Calls the servers of an admitted plain request one after the other, until one
 * answers or no further call is allowed. A request that is not repeatable is sent
 * to only one server.
 */
import {type AnswerEnd} from '../../../adapters/_lib/dispatch-call/index.js';
import {type PlacementRefusal} from '../../../domain/create-placement/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type ServerId, type ZoneId} from '../../../ports/ids.js';
import {callPair, dropKeptCache} from '../call-pair/index.js';
import {findPeer, passOn} from '../pass-on/index.js';
import {type PlainEnd, type PlainFault} from '../send-plain/index.js';
import {recordPlacement} from '../_lib/record-placement.js';
import {type QuarantineCause} from '../_lib/quarantine.js';
import {waitUnlessAborted} from '../_lib/wait-unless-aborted.js';
import {findStopProblem} from './_lib/find-stop-problem.js';
import {findRunQuarantine, sendRequest} from './_lib/send-step.js';
import {pickWithPlace} from './_lib/pick-with-place.js';
import {decideRetry, mayHaveStarted} from './_lib/decide-retry.js';
import {
	toBounced, toAborted, toGivenUp, toNotPlaced, toQuarantined,
} from './_lib/to-plain-outcome.js';
import {type PlainOutcome, type PlainRun} from './_lib/types.js';

export {createPlainRun, type PlainRunInput} from './_lib/create-plain-run.js';
export {isRepeatable} from './_lib/decide-retry.js';
export {toAborted} from './_lib/to-plain-outcome.js';
export {type PlainOutcome, type PlainRun} from './_lib/types.js';

function pickServer(run: PlainRun, exclude: ReadonlySet<ServerId>) {
	const {services} = run.ctx;
	return services.placement.pickPlain({pool: run.route.pool.name, exclude, origin: run.stream.origin()}, services.toView()!, services.clock.now(), services.random);
}

/** Picks a server that has not failed this request, or any server if all have failed it once; the retry budget bounds such retries and its backoff spaces them. */
function pickUntried(run: PlainRun, exclude: ReadonlySet<ServerId>) {
	const picked = pickServer(run, exclude);
	return picked.isErr() && picked.error.reason === 'no-server' && run.tried.length > 0 ? pickServer(run, new Set()) : picked;
}

/** Picks a server that may get the request within the limit that it states, if it states one. */
async function pickWithin(run: PlainRun): ReturnType<typeof pickWithPlace> {
	for (;;) {
		const chosen = await pickWithPlace(run, exclude => pickUntried(run, exclude));
		if (chosen.isErr() || await run.ctx.serverLimits.take(chosen.value.picked.server, 1)) {
			return chosen;
		}

		chosen.value.leave();
		run.account.addStage('held back', {server: chosen.value.picked.server.id});
	}
}

type AttemptResult =
	| {kind: 'called'; server: ServerEntry; ended: PlainEnd; hasRun: boolean}
	| {kind: 'passed-on'; peer: string; ended: PlainEnd}
	| {kind: 'quarantined'; cause: QuarantineCause}
	| {kind: 'bounced' | 'not-placed'; refusal: PlacementRefusal};

type CalledResult = Extract<AttemptResult, {ended: PlainEnd}>;

type NotCalledResult = Extract<AttemptResult, {refusal: PlacementRefusal}>;

const isNotCalled = (result: AttemptResult): result is NotCalledResult => result.kind === 'bounced' || result.kind === 'not-placed';

/** Names the server or the host that was called, and whether the request itself was sent to a server. */
function toCallee(attempted: CalledResult): {id: string; zone: ZoneId; hasRun: boolean} {
	if (attempted.kind === 'passed-on') {
		const {peer, ended} = attempted;
		return {id: peer, zone: '', hasRun: ended.kind !== 'failed' || mayHaveStarted(ended.fault)};
	}

	const {server: {id, zone}, hasRun} = attempted;
	return {id, zone, hasRun};
}

/** Calls one server of a plain service, and updates the account, the outcome ledger and the placement. */
async function callPlainServer(run: PlainRun, attempt: number): Promise<AttemptResult> {
	const {account, ledger, route} = run;
	const {clock, placement} = run.ctx.services;
	const chosen = await pickWithin(run);
	if (chosen.isErr()) {
		return {kind: 'not-placed', refusal: chosen.error};
	}

	const {picked, leave} = chosen.value;
	const {server} = picked;
	const cause = await findRunQuarantine(run);
	if (cause !== undefined) {
		leave();
		run.ctx.serverLimits.giveBack(server, 1);
		return {kind: 'quarantined', cause};
	}

	const placed = recordPlacement(account, picked, {attempt, pool: route.pool.name, chosen: [server.id]});
	run.log.info('sent', {attempt, server: server.id, zones: server.zone});
	placement.noteDispatched(placed, clock.now());
	ledger.noteOffered();
	const ended = await sendRequest(run, server, {kind: 'whole', lastEventId: run.events?.lastId}, () => {
		placement.noteFirstToken(placed, clock.now());
	});
	placement.noteFinished(placed, clock.now());
	leave();
	if (ended.kind === 'failed' && !mayHaveStarted(ended.fault)) {
		ledger.noteNotStarted();
	}

	return {
		kind: 'called', server, ended, hasRun: true,
	};
}

async function runAttempt(run: PlainRun): Promise<AttemptResult> {
	const peer = findPeer(run);
	if (peer !== undefined) {
		return {kind: 'passed-on', peer, ended: await passOn(run, peer)};
	}

	const {caches} = run.ctx.calls;
	const attempt = run.tried.length + 1;
	return run.route.pool.kind === 'model' && caches !== undefined ? callPair(run, caches, attempt) : callPlainServer(run, attempt);
}

/**
 * Calls servers until one answers or no further call is allowed.
 *
 * @param run - The admitted request.
 * @returns How the request ended; its problem, if any, has not been sent to the caller.
 */
export async function callServers(run: PlainRun): Promise<PlainOutcome> {
	const {services: {clock}, runDurations} = run.ctx;
	const startedAt = clock.now();
	try {
		const ended = await callUntilAnswered(run);
		if (ended.end === 'complete') {
			runDurations.note(run.route.rule.name, clock.now() - startedAt);
		}

		return ended;
	} finally {
		dropKeptCache(run);
	}
}

async function callUntilAnswered(run: PlainRun): Promise<PlainOutcome> {
	for (;;) {
		const cause = await findRunQuarantine(run);
		if (cause !== undefined) {
			return toQuarantined(run, cause);
		}

		const problem = findStopProblem(run);
		if (problem !== undefined) {
			run.log.info('refused, as this host stops before the request could end', {deadlineMs: Math.round(run.deadline - run.ctx.services.clock.now())});
			return {end: 'refused', outcome: problem.outcome, problem};
		}

		const attempted = await runAttempt(run);
		if (run.signal.aborted) {
			return toAborted(run);
		}

		if (attempted.kind === 'quarantined') {
			return toQuarantined(run, attempted.cause);
		}

		const outcome = isNotCalled(attempted) ? endNotCalled(run, attempted) : await endCalled(run, attempted);
		if (outcome !== undefined) {
			return outcome;
		}
	}
}

/** Ends a request for which no server was found; `undefined` if another host may reach one. */
function endNotCalled(run: PlainRun, attempted: NotCalledResult): PlainOutcome | undefined {
	if (findPeer(run) !== undefined) {
		return undefined;
	}

	const {refusal} = attempted;
	run.account.addStage('not placed', {...refusal.account(), reason: refusal.reason});
	logNoServer(run, attempted);
	return attempted.kind === 'bounced' ? toBounced(run, refusal) : toNotPlaced(run, refusal);
}

/** Ends a request whose call has ended; `undefined` after a failure that allows another call. */
async function endCalled(run: PlainRun, attempted: CalledResult): Promise<PlainOutcome | undefined> {
	const {ended} = attempted;
	if (ended.kind === 'complete') {
		return endComplete(run, attempted, ended.answer);
	}

	if (ended.kind === 'caller-gone') {
		run.exchange.destroy();
		return {end: 'caller-gone', outcome: run.ledger.outcome()};
	}

	const {id, zone, hasRun} = toCallee(attempted);
	run.runs += hasRun && mayHaveStarted(ended.fault) ? 1 : 0;
	reportFailure(run, attempted, ended.fault);
	run.tried.push({server: id, zone});
	const decision = run.stream.hasUnknownOrigin() ? {kind: 'give-up' as const} : await decideRetry(run, ended.fault, hasRun);
	if (ended.kind === 'cut' && (decision.kind === 'give-up' || run.events === undefined)) {
		run.exchange.destroy();
		return {end: 'failed', outcome: run.ledger.outcome()};
	}

	if (decision.kind === 'give-up') {
		return toGivenUp(run, attempted.kind === 'passed-on' ? `Host ${id}` : `Server ${id}`, ended.fault);
	}

	await waitUnlessAborted(run, decision.delayMs);
	return run.signal.aborted ? toAborted(run) : undefined;
}

function endComplete(run: PlainRun, attempted: CalledResult, answer: AnswerEnd): PlainOutcome {
	const {services} = run.ctx;
	// The host that served a request which was passed on earns the retries for it.
	if (attempted.kind === 'called') {
		services.toRetryBudget(run.route.pool.name).noteSuccess(services.clock.now());
	}

	logConnectionEnd(run, toCallee(attempted).id, answer);
	return {end: 'complete', outcome: 'ran'};
}

/** Logs an answer that ended with its connection, whose end is known from its content alone. */
function logConnectionEnd({log, tried}: PlainRun, server: string, {framing}: AnswerEnd): void {
	if (framing === 'connection') {
		log.info('answer ended with its connection', {attempt: tried.length + 1, server});
	}
}

/** Logs that no server was found. A waiting request tries fifty times a second, so only the first time that all servers are full is logged; the account records each. */
function logNoServer(run: PlainRun, {kind, refusal}: NotCalledResult): void {
	if (kind === 'not-placed') {
		run.log.info('not placed', {reason: refusal.reason});
		return;
	}

	run.bounces++;
	if (run.bounces === 1) {
		run.log.info('every server is full', {reason: 'no-memory'});
	}
}

/** Reports a failed call of another host, which says nothing about a server. */
function reportPeerFailure(run: PlainRun, peer: string, fault: PlainFault): void {
	const attempt = run.tried.length + 1;
	run.account.addStage('attempt failed', {
		attempt, peer, failure: fault.kind, message: fault.message,
	});
	run.log.info('attempt failed', {
		attempt, peerAddress: peer, kind: fault.kind, reason: fault.message,
	});
}

function reportFailure(run: PlainRun, attempted: CalledResult, fault: PlainFault): void {
	if (attempted.kind === 'passed-on') {
		reportPeerFailure(run, attempted.peer, fault);
		return;
	}

	const {server} = attempted;
	if (fault.kind === 'unreachable') {
		run.unreached.add(server.id);
	}

	const {services} = run.ctx;
	const attempt = run.tried.length + 1;
	const reason = fault.kind === 'refused' ? fault.reason : undefined;
	// A failed answer comes from the application, and all servers of a service may give the same one, so it says nothing about the server's health.
	if (fault.kind !== 'failed-answer' && fault.kind !== 'not-run') {
		services.placement.noteFailure(server, {kind: fault.kind, reason}, services.clock.now());
	}

	run.account.addStage('attempt failed', {
		attempt, server: server.id, failure: fault.kind, reason, message: fault.message,
	});
	run.log.info('attempt failed', {
		attempt, server: server.id, kind: fault.kind, reason: reason ?? fault.message, fingerprint: run.fingerprint,
	});
}
