/** What a connection between two of our processes offers, and its limits. */
import {type ResultAsync} from 'neverthrow';
import {bytesPerMebibyte} from '../../../ports/units.js';
import {maxFrameBytes, type PeerHello} from './frame.js';

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
