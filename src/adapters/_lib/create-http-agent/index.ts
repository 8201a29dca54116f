/**
 * The pool of HTTP connections of one client.
 *
 * Undici's agent is imported by its path. The package's main module would also
 * load `fetch`, caches, proxies and mocks, 110 modules instead of 23, which would
 * take 2 MB of the 64 MB that the agent program may use.
 */
import {type Socket} from 'node:net';
import {type Agent, type buildConnector} from 'undici';
import createConnector from 'undici/lib/core/connect.js';
import symbols from 'undici/lib/core/symbols.js';
import UndiciAgent from 'undici/lib/dispatcher/agent.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {limitFraming, type AnswerProgress} from './limit-framing.js';
import {resetGivenUp} from './reset-given-up.js';
import {watchAnswerEnd, type AnswerEnding} from './watch-answer-end.js';

export {answerResetCode} from './watch-answer-end.js';

export type HttpAgentOptions = {
	/** Connections to one server. */
	connections: number;
	connectTimeoutMs: Milliseconds;
	/** Time for which an idle connection is kept if the server does not state one. */
	idleMs?: Milliseconds;
};

/**
 * Safety margin: an idle connection is not used any more this long before the
 * server's keep-alive timeout. A request that is in flight when the server closes
 * the connection fails, and it is unknown whether the request ran. Servers are
 * some milliseconds away, so the margin is ample. With undici's default of two
 * seconds, a connection with a keep-alive timeout of one second would never be
 * reused, and every call would open a new one.
 */
const closeMarginMs: Milliseconds = 300;

type Parser = AnswerProgress & AnswerEnding;

const toParser = (socket: Socket): Parser | undefined => (socket as unknown as Record<symbol, Parser | null | undefined>)[symbols.kParser] ?? undefined;

/**
 * Creates a separate pool of connections, which ignores proxy settings of the
 * environment and closes with its client. Each connection carries one call at a
 * time.
 *
 * @param options - Limits.
 * @returns The undici agent.
 */
export function createHttpAgent({connections, connectTimeoutMs, idleMs}: HttpAgentOptions): Agent {
	const connect = createConnector({timeout: connectTimeoutMs});
	const connectWatched: buildConnector.connector = (options, done) => {
		connect(options, (...result) => {
			// If connecting failed, there is no socket, although the type says so.
			const [, socket] = result as readonly [unknown, Socket | null | undefined];
			if (socket !== null && socket !== undefined) {
				watchAnswerEnd(socket, () => toParser(socket));
				resetGivenUp(socket);
				limitFraming(socket, () => toParser(socket));
			}

			done(...result);
		});
	};

	return new UndiciAgent({
		connect: connectWatched, connections, pipelining: 1, keepAliveTimeoutThreshold: closeMarginMs, ...(idleMs !== undefined && {keepAliveTimeout: idleMs}),
	});
}
