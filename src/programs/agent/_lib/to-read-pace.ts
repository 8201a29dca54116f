/** Decides how fast a host reads the parts of a document from the platform. */
import {type Milliseconds} from '../../../ports/clock.js';

export type ReadPace = {
	/** Number of parts that are read without a gap. */
	readsWithoutGap: number;
	/** Mean gap before each further read. */
	gapMs: Milliseconds;
};

export type ReadPaceInput = {
	/** Whether this host has heard from another host. */
	hasHeardFromPeer: boolean;
	/** Number of other live hosts in the platform's list; `undefined` before the list was read. */
	listedHosts: number | undefined;
	/** Number of seeds in this host's settings. */
	seeds: number;
};

const usual: ReadPace = {readsWithoutGap: 2, gapMs: 50};

/** A whole fleet may be starting, of which no host knows yet that others read the same parts. */
const unacquainted: ReadPace = {readsWithoutGap: 0, gapMs: 333};

/**
 * Chooses the pace.
 *
 * @param input - What this host knows of other hosts.
 * @returns The usual pace, unless there may be other hosts that this host has not heard from.
 *
 * @example
 * ```ts
 * toReadPace({hasHeardFromPeer: false, listedHosts: 0, seeds: 0}); // => {readsWithoutGap: 2, gapMs: 50}
 * ```
 */
export function toReadPace({hasHeardFromPeer, listedHosts, seeds}: ReadPaceInput): ReadPace {
	const isOnlyHost = listedHosts === 0 && seeds === 0;
	return hasHeardFromPeer || isOnlyHost ? usual : unacquainted;
}
