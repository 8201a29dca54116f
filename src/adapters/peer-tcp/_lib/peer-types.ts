/** Types and limits of a connection between two processes of this system. */
import {type ResultAsync} from 'neverthrow';
import {bytesPerMebibyte} from '../../../ports/units.js';
import {maxFrameBytes, type PeerHello} from './frame.js';

/**
 * Why a call to a peer failed.
 *
 * - `unreachable`: no connection was made.
 * - `not-sent`: there was a connection, but no byte of the call was written to it (it is closed, or too many bytes or calls are waiting).
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
	/** Calls sent on one connection that wait for a reply. */
	outstandingCalls: number;
	/** Calls of the peer that are handled at once; while there are as many, the connection is not read. */
	handledCalls: number;
	/** Bytes that wait to be written on one connection. */
	waitingBytes: number;
	/** Time in which the peer's hello must arrive, milliseconds. */
	helloTimeoutMs: number;
	/** Connections that a listener accepts at once. */
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
	/** Identity of the peer, from its hello. */
	peer: PeerHello;
	/** Sends a call and waits for its reply. */
	call: (method: string, body: unknown, options: {timeoutMs: number}) => ResultAsync<unknown, PeerFailure>;
	/** Sends an event; `false` when the event was dropped because the connection is closed or too many bytes are waiting. */
	send: (name: string, body: unknown) => boolean;
	/** Closes the connection after all written frames have been sent. */
	close: () => void;
	/** Resolves with the reason once either side has ended the connection. Never rejects. */
	closed: Promise<string>;
	/** Bytes sent and received, framing included. */
	bytes: () => {sent: number; received: number};
};

/** Handles one call of a peer. The resolved value is the reply; a rejection is sent as a failed reply. */
export type CallHandler = (peer: PeerHello, method: string, body: unknown, connection: PeerConnection) => Promise<unknown>;
export type EventHandler = (peer: PeerHello, name: string, body: unknown, connection: PeerConnection) => void;

export type PeerHandlers = {
	onCall?: CallHandler;
	onEvent?: EventHandler;
};
