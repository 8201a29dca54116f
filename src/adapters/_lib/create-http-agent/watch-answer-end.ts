/** Tells the orderly end of a connection from a reset where the end is that of an answer. */
import {type Socket} from 'node:net';
import symbols from 'undici/lib/core/symbols.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {msPerSecond} from '../../../ports/units.js';

/** The part of undici's state of an answer that is used here. */
export type AnswerEnding = {
	/** 0 while no answer is being received. */
	statusCode: number;
	/** Whether the connection stays open after the answer; if not, an answer without a length ends with the connection. */
	shouldKeepAlive: boolean;
};

const resetCode = 'ECONNRESET';

/** Code of the error that reports a reset in the middle of an answer; with the usual code, undici would take the reset as the answer's end. */
export const answerResetCode = 'ERR_ANSWER_RESET';

/** Longest time for which the end of an answer waits for what is still being written; a reset fails the write at once. */
const maxHoldMs: Milliseconds = msPerSecond;

function toResetError(): Error {
	return Object.assign(new Error('the connection was reset in the middle of an answer'), {code: answerResetCode});
}

/**
 * Writes to a connection that node reports as ended, and waits for the result. Node
 * reports a reset as an end if a write has met it first, or if it came together with
 * the last bytes; the next result of a write then shows it. A line break between two
 * requests does no harm, but nothing may be added to a request that is not yet
 * written: the empty write has a result too.
 *
 * @param socket - The connection; a write that fails destroys it, with an error.
 * @param onOrderly - Called if the server closed the connection in order.
 */
function confirmEnd(socket: Socket, onOrderly: () => void): void {
	const isRequestOpen = (socket as unknown as Record<symbol, unknown>)[symbols.kWriting] === true;
	let isSettled = false;
	const settle = (error?: Error | null): void => {
		clearTimeout(timer);
		if (!isSettled && !error && socket.errored === null) {
			onOrderly();
		}

		isSettled = true;
	};

	const timer = setTimeout(settle, maxHoldMs);
	socket.write(isRequestOpen ? '' : '\n', settle);
}

/**
 * Reports resets to undici as errors. An answer without a length ends with its
 * connection, and undici treats a reset, and any close, as such an end too. If a
 * server crashed in the middle of an answer, the truncated answer would be relayed as
 * a complete one. Only an end that was confirmed as orderly is passed on.
 *
 * @param socket - Socket of a client.
 * @param toEnding - Returns the state of the answer; `undefined` before the socket is in use.
 */
export function watchAnswerEnd(socket: Socket, toEnding: () => AnswerEnding | undefined): void {
	const emit = socket.emit.bind(socket) as (event: string, ...values: unknown[]) => boolean;
	let isOrderly = false;
	const isEndedByConnection = (): boolean => {
		const ending = toEnding();
		return ending !== undefined && ending.statusCode > 0 && !ending.shouldKeepAlive;
	};

	socket.emit = (event: string, ...values: unknown[]): boolean => {
		if (!isEndedByConnection()) {
			return emit(event, ...values);
		}

		switch (event) {
			case 'error': {
				const {code} = values[0] as NodeJS.ErrnoException;
				return code === resetCode ? emit(event, toResetError()) : emit(event, ...values);
			}

			case 'end': {
				confirmEnd(socket, () => {
					isOrderly = true;
					emit(event, ...values);
				});
				return true;
			}

			case 'close': {
				const state = socket as unknown as Record<symbol, unknown>;
				if (!isOrderly) {
					state[symbols.kError] ??= toResetError();
				}

				return emit(event, ...values);
			}

			default: {
				return emit(event, ...values);
			}
		}
	};
}
