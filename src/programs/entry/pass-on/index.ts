/**
 * Passes a request on to another host, because this one has lost its links to the
 * servers of the pool. The other host serves it within its own limits, as if its
 * caller had sent it there, and never passes it on again.
 */
import {type StreamOrigin} from '../../../ports/stream-origins.js';
import {type PlainEnd} from '../send-plain/index.js';
import {mayHaveStarted} from '../call-plain/_lib/decide-retry.js';
import {sendTo} from '../call-plain/_lib/send-step.js';
import {type PlainRun} from '../call-plain/_lib/types.js';
import {listServersOf} from '../_lib/servers-of-origin.js';
import {readOrigin} from '../_lib/passed-headers.js';
import {findPeerFault, toPassedCallHeaders} from './_lib/passed-call.js';

/** Number of servers that could not be reached and none that answered, after which a request is passed on before the links count as lost. */
const maxUnreached = 2;

/** Whether none of the servers that can continue the request's stream could be connected; a version may have too few of them to show that the pool is lost. */
function isOriginUnreached({stream, unreached, ctx}: PlainRun): boolean {
	const origin = stream.origin();
	return origin !== undefined && unreached.size > 0 && listServersOf(origin, ctx.services.toView()).every(({id}) => unreached.has(id));
}

/**
 * Finds the host to which a request is passed on next.
 *
 * @param run - The request.
 * @returns `IP:port` of the host; `undefined` if this host is to call a server.
 */
export function findPeer(run: PlainRun): string | undefined {
	const {exchange, body, route, ctx, peersTried, unreached} = run;
	const {reach} = ctx;
	if (reach === undefined || exchange.passed !== undefined || body.isTaken()) {
		return undefined;
	}

	const isDue = reach.isLost(route.pool.name) || unreached.size >= maxUnreached || isOriginUnreached(run);
	return isDue ? reach.pickPeer(route.pool.name, peersTried) : undefined;
}

/**
 * Passes a request on and relays the answer.
 *
 * @param run - The request.
 * @param address - `IP:port` of the other host.
 * @returns How the call ended; after `failed` nothing has been relayed.
 */
export async function passOn(run: PlainRun, address: string): Promise<PlainEnd> {
	const {account, ledger, ctx, log, peersTried} = run;
	const attempt = run.tried.length + 1;
	account.addStage('passed on', {attempt, peer: address});
	log.info('passed on', {attempt, peerAddress: address, pool: run.route.pool.name});
	peersTried.add(address);
	ledger.noteOffered();
	let origin: StreamOrigin | undefined;
	const ended = await sendTo(run, {
		url: `http://${address}`,
		toOrigin: () => origin,
		dispatcher: ctx.toPeerDispatcher(address),
		headers: toPassedCallHeaders(run),
		findFault(status, headers) {
			origin = readOrigin(headers);
			return findPeerFault(run, status, headers);
		},
	});
	const isNotRun = ended.kind === 'failed' && !mayHaveStarted(ended.fault);
	if (isNotRun) {
		ledger.noteNotStarted();
	}

	ctx.countPassedOn(ended.kind === 'complete' ? 'served' : (isNotRun ? 'not-run' : 'failed'));
	return ended;
}
