import {type Milliseconds} from '../../../ports/clock.js';
import {type ZoneId} from '../../../ports/ids.js';
import {msPerSecond} from '../../../ports/units.js';

/** What a host knows of another one. */
export type KnownPeer = {
	zone: ZoneId;
	/** When this host last received a message of it. */
	heardAt: Milliseconds;
	/** When it last sent a message to any host, as far as this host knows. */
	knownAt: Milliseconds;
	/** When it last asked for an answer. */
	askedAt: Milliseconds;
	/** Share of all hosts that it reaches by its last message; 1 if it told none. */
	reachedShare: number;
};

/** Time for which a host counts as alive after its last message or advertisement: advertisements take some seconds to cross a large fleet. */
export const knownForMs: Milliseconds = 10 * msPerSecond;
