/** One step of a passed-on request at one server. */
import {type Milliseconds} from '../../../../ports/clock.js';
import {type ServerEntry} from '../../../../ports/config.js';
import {type CallStep, type AnswerHeaders} from '../../../../ports/server-calls.js';
import {type PlainEnd, type PlainFault, sendPlain} from '../../send-plain/index.js';
import {isAgainAllowed} from './decide-again.js';
import {type PlainRun} from './types.js';

/** The least status by which a service says that it failed. */
const firstServerFault = 500;

/** Time left until nobody wants the answer, 1 ms at least. */
export function timeLeft({deadline, serve}: PlainRun): Milliseconds {
	return Math.max(1, deadline - serve.services.clock.now());
}

/**
 * @param run - The request.
 * @param server - Where it goes.
 * @param step - What the server is asked for.
 * @returns The headers of the call.
 */
export function toCallHeaders(run: PlainRun, server: ServerEntry, step: CallStep): Record<string, string | string[]> {
	const {exchange, serve} = run;
	return serve.calls.toHeaders({
		headers: exchange.headers, workspace: run.route.workspace, requestId: exchange.requestId, server, step, deadlineInMs: timeLeft(run),
	});
}

/**
 * Finds what is wrong with an answer by its head.
 *
 * An answer of another request on a kept connection is what a server sends that
 * answers twice or late: relayed, one caller would read what another asked for.
 */
function findHeadFault(run: PlainRun, status: number, headers: AnswerHeaders): PlainFault | undefined {
	const {calls} = run.serve;
	if (!calls.isAnswerTo(run.exchange.requestId, headers)) {
		return {kind: 'invalid', message: `status ${status}, the answer of another request`};
	}

	const reason = calls.toRefusal(status, headers);
	if (reason !== undefined) {
		return {kind: 'refused', reason, message: `status ${status}`};
	}

	return status >= firstServerFault && isAgainAllowed(run) ? {kind: 'failed-answer', message: `status ${status}`} : undefined;
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
export async function sendWhole(run: PlainRun, server: ServerEntry, step: CallStep, onFirst: () => void): Promise<PlainEnd> {
	const {exchange, serve, clients, body, signal} = run;
	return sendPlain({
		exchange,
		dispatcher: clients.toDispatcher(server),
		server,
		headers: toCallHeaders(run, server, step),
		payload: body.open(),
		signal,
		headersTimeoutMs: timeLeft(run),
		idleTimeoutMs: serve.limits.writeTimeoutMs,
		checkHead: (status, headers) => findHeadFault(run, status, headers),
		onStart(status) {
			serve.services.gate.noteFirstToken(exchange.requestId);
			run.ledger.noteRan(serve.services.clock.now());
			if (status < firstServerFault) {
				onFirst();
			}
		},
	});
}
