/**
 * Port through which an entry learns whether it reaches the servers of a pool, and
 * which other host reaches them if it does not.
 */
import {type Milliseconds} from './clock.js';
import {type StreamOrigin} from './stream-origins.js';

/** One call to a server, from its start to the head of its answer. */
export type LinkCall = {
	/** Notes the head of an answer, whatever its status. */
	answer: (now: Milliseconds) => void;
	/** Notes that the call ended without an answer. */
	fail: () => void;
	/** Notes that this host ended the call for a reason of its own. */
	abandon: (now: Milliseconds) => void;
};

/** What a host states about a request that it passes on to another one. */
export type PassedRequest = {
	/** Time left until the request's deadline. */
	deadlineInMs: Milliseconds;
	/** Edition of the configuration by which the host allowed the request. */
	edition: number;
	/** Number of calls so far that may have run the request. */
	runs: number;
	/** Where the stream of the request began, and no origin if it has not begun; absent from hosts that do not tell it. */
	stream?: {origin: StreamOrigin | undefined};
};

export type Reach = {
	/** Notes the start of a call to a server of the pool. */
	openCall: (pool: string) => LinkCall;
	/** Whether this host has lost its links to all servers of the pool. */
	isLost: (pool: string) => boolean;
	/** Picks a host that reaches servers of the pool, by its `IP:port`; `undefined` if none is known. */
	pickPeer: (pool: string, exclude: ReadonlySet<string>) => string | undefined;
	/** Starts the probes that are due; called many times a second while requests are served. */
	tick: () => void;
};
