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

/** The part of undici's state of an answer that is used here. */
type Parser = AnswerProgress & {
	/** Whether the connection stays open after the answer; if not, an answer without a length ends with the connection. */
	shouldKeepAlive: boolean;
};

const resetCode = 'ECONNRESET';

/** Code of the error that reports a reset in the middle of an answer; with the usual code, undici would take the reset as the answer's end. */
export const answerResetCode = 'ERR_ANSWER_RESET';

function toResetError(): Error {
	return Object.assign(new Error('the connection was reset in the middle of an answer'), {code: answerResetCode});
}

/**
 * Whether a connection that node reports as ended was reset. Node reports a reset
 * that arrives together with the last bytes as an end. The check writes one byte:
 * on a connection that was reset the write fails at once, and on one that the
 * server closed in order the byte does no harm, because the answer is over.
 */
function wasReset(socket: Socket): boolean {
	socket.write('\n');
	return socket.errored !== null;
}

const toParser = (socket: Socket): Parser | undefined => (socket as unknown as Record<symbol, Parser | null | undefined>)[symbols.kParser] ?? undefined;

/**
 * Reports resets to undici as errors. An answer without a length ends with its
 * connection, and undici treats a reset as such an end too. If a server crashed
 * in the middle of an answer, the truncated answer would be relayed as a complete
 * one.
 */
function watchForResets(socket: Socket): void {
	const emit = socket.emit.bind(socket) as (event: string, ...values: unknown[]) => boolean;
	const isEndedByConnection = (): boolean => {
		const parser = toParser(socket);
		return parser !== undefined && parser.statusCode > 0 && !parser.shouldKeepAlive;
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
				watchForResets(socket);
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
