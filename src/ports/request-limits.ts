/**
 * Limits that servers state in their answers: the requests a second that they take
 * from all hosts together. Hosts tell each other the limits, and keep them together.
 */
import {type Milliseconds} from './clock.js';
import {type ServerEntry} from './config.js';
import {type ServerId} from './ids.js';

/** What an answer states about its server's limit: requests a second, no limit, or something that can't be read. */
export type StatedLimit = number | 'none' | 'unreadable';

/** A limit, or the end of one, as one host tells it to another. */
export type SharedLimit = {
	server: ServerId;
	/** Requests a second; `undefined` once the server states no limit any more. */
	perSecond: number | undefined;
	/** Time since the call began whose answer stated it. */
	ageMs: Milliseconds;
};

/** Limits of servers as a host keeps them, together with others or alone. */
export type ServerLimits = {
	/** Asks for leave to send so many requests to a server; without it, placement passes the server over until more may be sent. */
	take: (server: Pick<ServerEntry, 'id'>, requests: number) => Promise<boolean>;
	/** Returns what was granted and not sent. */
	giveBack: (server: Pick<ServerEntry, 'id'>, requests: number) => void;
	/** Records the limit that an answer states; `calledAt`: when the call began, monotonic milliseconds. */
	noteAnswer: (server: Pick<ServerEntry, 'id'>, limit: StatedLimit, calledAt: Milliseconds) => void;
	isLimited: (server: Pick<ServerEntry, 'id'>) => boolean;
};
