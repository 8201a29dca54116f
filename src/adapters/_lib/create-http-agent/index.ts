/**
 * The pool of HTTP connections of one client.
 *
 * undici's agent is loaded by its own path: the package's main module brings
 * `fetch`, caches, proxies and mocks along, 110 modules in place of 23, which
 * cost the agent program 2 MB of the 64 it may have.
 */
import {type Socket} from 'node:net';
import {type Agent, type buildConnector} from 'undici';
import createConnector from 'undici/lib/core/connect.js';
import symbols from 'undici/lib/core/symbols.js';
import UndiciAgent from 'undici/lib/dispatcher/agent.js';
import {type Milliseconds} from '../../../ports/clock.js';

export type HttpAgentOptions = {
	/** Connections to one server. */
	connections: number;
	connectTimeoutMs: Milliseconds;
	/** Time for which an idle connection is kept where the server names none. */
	idleMs?: Milliseconds;
};

/**
 * Time before the end that a server tells for an idle connection after which it
 * is not used any more: a request under way when the server closes is broken off,
 * and nobody can tell whether it ran. A server is some milliseconds away, so this
 * is ample. undici's own two seconds leave nothing of a server's
 * one, and every call would open a connection.
 */
const closeMarginMs: Milliseconds = 300;

/** What undici keeps of an answer while it comes in. */
type Parser = {
	/** 0 while no answer is under way. */
	statusCode: number;
	/** Whether the connection goes on behind the answer; without it, an answer that tells no length ends with it. */
	shouldKeepAlive: boolean;
};

const resetCode = 'ECONNRESET';

function toResetError(): Error {
	return new Error('the connection was reset in the middle of an answer');
}

/**
 * Tells an orderly end from a reset. Node reports a reset that arrives together
 * with the last bytes as an end; but a byte written to a connection that was
 * reset fails at once, and one written to a connection that the server ended in
 * order goes nowhere, as the answer is over.
 */
function wasReset(socket: Socket): boolean {
	socket.write('\n');
	return socket.errored !== null;
}

/**
 * An answer without a length ends with its connection, and undici takes a reset
 * for such an end too: a server that crashes midway would have its half answer
 * passed on as a whole one. So undici is told of an error in place of such an end.
 */
function watchForResets(socket: Socket): void {
	const emit = socket.emit.bind(socket) as (event: string, ...values: unknown[]) => boolean;
	const isEndedByConnection = (): boolean => {
		const parser = (socket as unknown as Record<symbol, Parser | null | undefined>)[symbols.kParser];
		return parser !== null && parser !== undefined && parser.statusCode > 0 && !parser.shouldKeepAlive;
	};

	socket.emit = (event: string, ...values: unknown[]): boolean => {
		const isReset = event === 'error' && (values[0] as NodeJS.ErrnoException).code === resetCode;
		if (isReset && isEndedByConnection()) {
			return emit(event, toResetError());
		}

		if (event === 'end' && isEndedByConnection() && wasReset(socket)) {
			socket.destroy(toResetError());
			return true;
		}

		return emit(event, ...values);
	};
}

/**
 * Creates a pool of its own: no proxy settings of the environment, and its
 * connections close with its client. Each connection carries one call at once.
 *
 * @param options - Limits.
 */
export function createHttpAgent({connections, connectTimeoutMs, idleMs}: HttpAgentOptions): Agent {
	const connect = createConnector({timeout: connectTimeoutMs});
	const connectWatched: buildConnector.connector = (options, done) => {
		connect(options, (...result) => {
			// Without a connection there is no socket at all, whatever the type says.
			const [, socket] = result as readonly [unknown, Socket | null | undefined];
			if (socket !== null && socket !== undefined) {
				watchForResets(socket);
			}

			done(...result);
		});
	};

	return new UndiciAgent({
		connect: connectWatched, connections, pipelining: 1, keepAliveTimeoutThreshold: closeMarginMs, ...(idleMs !== undefined && {keepAliveTimeout: idleMs}),
	});
}
