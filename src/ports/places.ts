/**
 * Messages between hosts about the places of servers that report no load. For each
 * server one host, its keeper, counts the requests that all hosts have there; the
 * others ask it for a place before they call the server.
 */
import {type Milliseconds} from './clock.js';
import {type ServerEntry} from './config.js';
import {type ServerId} from './ids.js';

export type PlaceAnswer = {
	/** Whether the request is counted at the server from now on. */
	isTaken: boolean;
	/** Requests at the server, without this one. */
	count: number;
};

export type PlaceMessage =
	| {
		kind: 'ask';
		/** Number of the question, unique within the process that asks. */
		id: number;
		server: ServerId;
		/** Requests that the server runs at a time. */
		slots: number;
		/** Whether to count the request although the server is full, as it is sent there anyway. */
		isForced: boolean;
	}
	| ({kind: 'answer'; id: number} & PlaceAnswer)
	/** The request of an earlier question is no longer at the server. */
	| {kind: 'leave'; id: number; server: ServerId};

/** A request's place at a server. */
export type Place = PlaceAnswer & {
	/** Gives the place back. */
	leave: () => void;
};

/** Places at servers as all hosts count them together. */
export type Places = {
	/** Asks for a place; `undefined` if the server's keeper does not answer. */
	take: (server: Pick<ServerEntry, 'id' | 'slots'>, options: {isForced: boolean}) => Promise<Place | undefined>;
};

/** Time for which a place is counted that is never given back, because its host was lost. */
export const placeLifetimeMs: Milliseconds = 5000;
