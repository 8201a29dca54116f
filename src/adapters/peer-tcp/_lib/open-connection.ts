/**
 * One connection between two processes of this system. Both ends behave the same
 * once the hellos have been exchanged.
 */
import {type Socket} from 'node:net';
import {ResultAsync} from 'neverthrow';
import {createDeferred} from '../../../_lib/create-deferred/index.js';
import {createCallAnswerer} from './create-call-answerer.js';
import {createCallSender} from './create-call-sender.js';
import {createFrameWriter} from './create-frame-writer.js';
import {
	createFrameDecoder, protocolVersion, type Frame, type PeerHello,
} from './frame.js';
import {type PeerConnection, type PeerHandlers, type PeerLimits} from './peer-types.js';

const maxShownNameLength = 40;

/** Returns the hello of the peer's first frame, or the reason why the frame is refused. */
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
 * @param options - `hello`: identity of this process. `isInitiator`: whether to
 * send the hello at once; a listener waits for the peer's hello first, so that an
 * unknown client learns nothing. `handlers` and `limits`: see their types.
 * @returns The connection once the peer's hello has arrived; rejects with the reason otherwise.
 */
export async function openConnection(socket: Socket, {hello, isInitiator, handlers, limits}: {
	hello: PeerHello;
	isInitiator: boolean;
	handlers: PeerHandlers;
	limits: PeerLimits;
}): Promise<PeerConnection> {
	const opened = createDeferred<PeerConnection>();
	const ended = createDeferred<string>();
	let connection: PeerConnection | undefined;
	let closeReason: string | undefined;

	function end(reason: string) {
		closeReason ??= reason;
		socket.destroy();
	}

	const write = createFrameWriter(socket, limits, () => closeReason !== undefined);
	const sender = createCallSender(write, limits);
	const answer = createCallAnswerer({
		socket, write, onCall: handlers.onCall, limits, end,
	});
	const sendHello = () => write({type: 'hello', protocol: protocolVersion, ...hello});

	function handleEvent(current: PeerConnection, name: string, body: unknown) {
		try {
			handlers.onEvent?.(current.peer, name, body, current);
		} catch (error) {
			// A body of an unexpected shape makes the handler throw. The peer causes
			// this error, which must not end this process.
			end(`event ${name.slice(0, maxShownNameLength)} could not be handled: ${error instanceof Error ? error.message : 'unknown error'}`);
		}
	}

	function handleFrame(current: PeerConnection, frame: Frame) {
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
				sender.handleReply(frame);
				return;
			}

			case 'event': {
				handleEvent(current, frame.name, frame.body);
			}
		}
	}

	function handleHello(frame: Frame) {
		const peer = toHello(frame);
		if (typeof peer === 'string') {
			end(peer);
			return;
		}

		if (!isInitiator) {
			sendHello();
		}

		clearTimeout(helloTimer);
		connection = toConnection(peer);
		opened.resolve(connection);
	}

	function toConnection(peer: PeerHello): PeerConnection {
		return {
			peer,
			call: (method, body, {timeoutMs}) => new ResultAsync(sender.call(method, body, timeoutMs)),
			send: (name, body) => write({type: 'event', name, body}) === undefined,
			close() {
				closeReason ??= 'closed by this side';
				socket.end();
				// Without this timeout, a peer that does not close its half would keep the socket open for ever.
				setTimeout(() => socket.destroy(), limits.helloTimeoutMs).unref();
			},
			closed: ended.promise,
			bytes: () => ({sent: socket.bytesWritten, received: socket.bytesRead}),
		};
	}

	const decoder = createFrameDecoder({limitBytes: limits.frameBytes});

	function handleBytes(bytes: Uint8Array) {
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
				handleFrame(connection, frame);
			} else {
				handleHello(frame);
			}
		}
	}

	const helloTimer = setTimeout(() => {
		end(`no hello came within ${limits.helloTimeoutMs} ms`);
	}, limits.helloTimeoutMs);

	socket.on('data', handleBytes);
	socket.on('error', error => {
		closeReason ??= error.message;
	});
	socket.on('end', () => {
		closeReason ??= 'the peer closed the connection';
		socket.end();
	});
	socket.on('close', () => {
		clearTimeout(helloTimer);
		closeReason ??= 'the connection ended';
		sender.failAll(closeReason);
		opened.reject(new Error(closeReason));
		ended.resolve(closeReason);
	});

	if (isInitiator) {
		sendHello();
	}

	return opened.promise;
}
