/**
 * One connection between two of our processes, the same at both ends once the
 * hellos have crossed.
 */
import {type Socket} from 'node:net';
import {err, ok, ResultAsync} from 'neverthrow';
import {bytesPerMebibyte} from '../../../ports/units.js';
import {isRecord} from '../../../_lib/is-record/index.js';
import {createDeferred} from '../../../_lib/create-deferred/index.js';
import {
	createFrameDecoder, encodeFrame, maxFrameBytes, protocolVersion,
	type CallFrame, type Frame, type PeerHello, type ReplyFrame,
} from './frame.js';

/**
 * Why a call to a peer failed.
 *
 * - `unreachable`: no connection was made.
 * - `not-sent`: there was a connection, and no byte of the call went to it (closed, or too much is waiting).
 * - `timed-out`: sent, and no reply came in time.
 * - `broken`: sent, and the connection ended before the reply.
 * - `failed`: the peer replied that the call failed.
 */
export type PeerFailureKind = 'unreachable' | 'not-sent' | 'timed-out' | 'broken' | 'failed';

export type PeerFailure = {
	kind: PeerFailureKind;
	/** Whether the peer may have received the call. */
	sent: boolean;
	message: string;
};

export type PeerLimits = {
	/** Longest frame, bytes. */
	frameBytes: number;
	/** Calls of ours that wait for a reply on one connection. */
	outstandingCalls: number;
	/** Calls of the peer that are handled at once; beyond it the connection is not read. */
	handledCalls: number;
	/** Bytes that wait to be written on one connection. */
	waitingBytes: number;
	/** Time in which the peer's hello must come, milliseconds. */
	helloTimeoutMs: number;
	/** Connections that a listener keeps. */
	connections: number;
};

export const defaultLimits: PeerLimits = {
	frameBytes: maxFrameBytes,
	outstandingCalls: 4096,
	handledCalls: 1024,
	waitingBytes: 4 * bytesPerMebibyte,
	helloTimeoutMs: 2000,
	connections: 2048,
};

export type PeerConnection = {
	/** The other end, as it introduced itself. */
	peer: PeerHello;
	/** Sends a call and waits for its reply. */
	call: (method: string, body: unknown, options: {timeoutMs: number}) => ResultAsync<unknown, PeerFailure>;
	/** Sends an event; `false` when it was dropped because the connection is closed or too much is waiting. */
	send: (name: string, body: unknown) => boolean;
	/** Ends the connection after what was written has gone out. */
	close: () => void;
	/** Resolves with the reason once the connection has ended, from whichever side. Never rejects. */
	closed: Promise<string>;
	/** Bytes sent and received, framing included. */
	bytes: () => {sent: number; received: number};
};

/** Handles one call of a peer. What it resolves to is the reply; a rejection becomes a failed reply. */
export type CallHandler = (peer: PeerHello, method: string, body: unknown, connection: PeerConnection) => Promise<unknown>;
export type EventHandler = (peer: PeerHello, name: string, body: unknown, connection: PeerConnection) => void;

export type PeerHandlers = {
	onCall?: CallHandler;
	onEvent?: EventHandler;
};

type Waiting = {
	resolve: (reply: ReplyFrame) => void;
	fail: (reason: string) => void;
};

function toHello(frame: Frame): PeerHello | string {
	if (frame.type !== 'hello') {
		return `the first frame is a ${frame.type} and not a hello`;
	}

	if (frame.protocol !== protocolVersion) {
		return `the peer speaks protocol ${frame.protocol} and not ${protocolVersion}; run the same version at both ends`;
	}

	const {host, zone, role, incarnation} = frame;
	return {
		host, zone, role, incarnation,
	};
}

/**
 * Exchanges hellos on a socket and then serves it until it ends.
 *
 * @param socket - A connected socket, TLS handshake included.
 * @param options - `hello`: what to say of ourselves. `speakFirst`: whether to
 * send it at once; a listener waits for the peer's, so that a stranger learns
 * nothing. `handlers` and `limits`: see their types.
 * @returns The connection once the peer's hello has come; rejects with the reason otherwise.
 */
export async function openConnection(socket: Socket, {hello, speakFirst, handlers, limits}: {
	hello: PeerHello;
	speakFirst: boolean;
	handlers: PeerHandlers;
	limits: PeerLimits;
}): Promise<PeerConnection> {
	const decoder = createFrameDecoder({limitBytes: limits.frameBytes});
	const waiting = new Map<number, Waiting>();
	const opened = createDeferred<PeerConnection>();
	const ended = createDeferred<string>();
	let connection: PeerConnection | undefined;
	let handled = 0;
	let nextId = 1;
	let closeReason: string | undefined;

	function end(reason: string) {
		closeReason ??= reason;
		socket.destroy();
	}

	function write(frame: Frame): string | undefined {
		if (closeReason !== undefined || !socket.writable) {
			return 'the connection is closed';
		}

		if (socket.writableLength > limits.waitingBytes) {
			return 'the peer takes its bytes too slowly';
		}

		const bytes = encodeFrame(frame, limits.frameBytes);
		if (bytes.isErr()) {
			return bytes.error.message;
		}

		socket.write(bytes.value);
		return undefined;
	}

	const sayHello = () => write({type: 'hello', protocol: protocolVersion, ...hello});

	async function answer(current: PeerConnection, {id, method, body}: CallFrame) {
		handled += 1;
		if (handled >= limits.handledCalls) {
			socket.pause();
		}

		let reply: ReplyFrame;
		try {
			const result = await handlers.onCall?.(current.peer, method, body, current);
			reply = {
				type: 'reply', id, ok: handlers.onCall !== undefined, body: result,
			};
		} catch (error) {
			const message = error instanceof Error ? error.message : 'the call failed';
			reply = {
				type: 'reply', id, ok: false, body: {message},
			};
		}

		const fault = write(reply);
		if (fault !== undefined) {
			end(`a reply could not be written: ${fault}`);
		}

		handled -= 1;
		if (handled < limits.handledCalls && socket.isPaused()) {
			socket.resume();
		}
	}

	function takeEvent(current: PeerConnection, name: string, body: unknown) {
		try {
			handlers.onEvent?.(current.peer, name, body, current);
		} catch (error) {
			// A body of an unexpected shape makes its handler throw. That is the
			// peer's fault and must not end this process.
			end(`event ${name.slice(0, 40)} was not understood: ${error instanceof Error ? error.message : 'unknown error'}`);
		}
	}

	function takeFrame(current: PeerConnection, frame: Frame) {
		switch (frame.type) {
			case 'hello': {
				end('the peer sent a second hello');
				return;
			}

			case 'call': {
				void answer(current, frame);
				return;
			}

			case 'reply': {
				// A reply that nobody waits for came after its call had timed out.
				waiting.get(frame.id)?.resolve(frame);
				waiting.delete(frame.id);
				return;
			}

			case 'event': {
				takeEvent(current, frame.name, frame.body);
			}
		}
	}

	function takeHello(frame: Frame) {
		const peer = toHello(frame);
		if (typeof peer === 'string') {
			end(peer);
			return;
		}

		if (!speakFirst) {
			sayHello();
		}

		clearTimeout(helloTimer);
		connection = toConnection(peer);
		opened.resolve(connection);
	}

	function toConnection(peer: PeerHello): PeerConnection {
		return {
			peer,
			call: (method, body, {timeoutMs}) => new ResultAsync(call(method, body, timeoutMs)),
			send: (name, body) => write({type: 'event', name, body}) === undefined,
			close() {
				closeReason ??= 'closed by this side';
				socket.end();
				// A peer that does not close its half would keep the socket for ever.
				setTimeout(() => socket.destroy(), limits.helloTimeoutMs).unref();
			},
			closed: ended.promise,
			bytes: () => ({sent: socket.bytesWritten, received: socket.bytesRead}),
		};
	}

	async function call(method: string, body: unknown, timeoutMs: number) {
		if (waiting.size >= limits.outstandingCalls) {
			return err<unknown, PeerFailure>({kind: 'not-sent', sent: false, message: `Call ${method} was not sent: ${waiting.size} calls wait for a reply.`});
		}

		const id = nextId;
		nextId += 1;
		const fault = write({
			type: 'call', id, method, body,
		});
		if (fault !== undefined) {
			return err<unknown, PeerFailure>({kind: 'not-sent', sent: false, message: `Call ${method} was not sent: ${fault}.`});
		}

		return waitForReply(id, method, timeoutMs);
	}

	async function waitForReply(id: number, method: string, timeoutMs: number) {
		const settled = createDeferred<ReplyFrame | PeerFailure>();
		const timer = setTimeout(() => {
			waiting.delete(id);
			settled.resolve({kind: 'timed-out', sent: true, message: `Call ${method} had no reply within ${timeoutMs} ms.`});
		}, timeoutMs);
		waiting.set(id, {
			resolve: settled.resolve,
			fail(reason) {
				settled.resolve({kind: 'broken', sent: true, message: `Call ${method} had no reply: ${reason}.`});
			},
		});
		const outcome = await settled.promise;
		clearTimeout(timer);
		if ('kind' in outcome) {
			return err<unknown, PeerFailure>(outcome);
		}

		if (!outcome.ok) {
			const message = isRecord(outcome.body) && typeof outcome.body.message === 'string' ? outcome.body.message : 'the peer does not say why';
			return err<unknown, PeerFailure>({kind: 'failed', sent: true, message: `Call ${method} failed: ${message}.`});
		}

		return ok<unknown, PeerFailure>(outcome.body);
	}

	const helloTimer = setTimeout(() => {
		end(`no hello came within ${limits.helloTimeoutMs} ms`);
	}, limits.helloTimeoutMs);

	socket.on('data', (bytes: Uint8Array) => {
		const frames = decoder.push(bytes);
		if (frames.isErr()) {
			end(frames.error.message);
			return;
		}

		for (const frame of frames.value) {
			if (closeReason !== undefined) {
				return;
			}

			if (connection) {
				takeFrame(connection, frame);
			} else {
				takeHello(frame);
			}
		}
	});
	socket.on('error', error => {
		closeReason ??= error.message;
	});
	socket.on('end', () => {
		closeReason ??= 'the peer closed the connection';
		socket.end();
	});
	socket.on('close', () => {
		clearTimeout(helloTimer);
		const reason = closeReason ?? 'the connection ended';
		closeReason = reason;
		for (const {fail} of waiting.values()) {
			fail(reason);
		}

		waiting.clear();
		opened.reject(new Error(reason));
		ended.resolve(reason);
	});

	if (speakFirst) {
		sayHello();
	}

	return opened.promise;
}
