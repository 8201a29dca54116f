/**
 * Messages between an agent and its entry. Times are sent as ages, because the
 * two processes have no common clock.
 */
import {type ConfigVersion} from '../../../ports/config.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type LoadReport} from '../../../ports/engine.js';
import {type HostId, type Incarnation, type ServerId} from '../../../ports/ids.js';
import {type HostStatus, type ZoneSummary} from '../../../ports/view.js';

/** Event from the entry, every second, with its clock, which the agent echoes. */
export type FeedPing = {
	at: Milliseconds;
	/** `IP:port` on which the entry accepts calls from peers. */
	entryAddress: string;
	/** The entry's present incarnation, which may have been raised since its hello. */
	incarnation: Incarnation;
	/** Version of the configuration that the entry uses; a restarted agent can recover the configuration from its entry. */
	configVersion: ConfigVersion | undefined;
	/** Whether the entry drains: it completes its requests and accepts no new ones; absent means no. */
	stopping?: boolean;
};

/** A part of a document, identified by its digest. */
export type FeedPart = {
	sha256: string;
	text: string;
};

export type FeedConfig = {
	version: ConfigVersion;
	/** The document, or its root. */
	text: string;
	/** Parts of the document that the entry may lack; absent for a document in one file. */
	parts?: readonly FeedPart[];
};

export type FeedServer = {
	id: ServerId;
	leaving: boolean;
	load: LoadReport | undefined;
	/** Age of the numbers of `load` when the update was sent. */
	loadAgeMs: Milliseconds;
	reachable: boolean | undefined;
	/** Age of `reachable` when the update was sent. */
	reachableAgeMs?: Milliseconds | undefined;
};

export type FeedZone = Omit<ZoneSummary, 'at'> & {
	/** Age of the summary when the update was sent. */
	ageMs: Milliseconds;
};

/** Event from the agent with the changes since the previous update. */
export type FeedUpdate = {
	/** The last clock value that the entry sent. */
	echoAt: Milliseconds;
	/** Time between the arrival of that value and the sending of this update, on the agent's clock. */
	echoAgeMs: Milliseconds;
	/** Whether this is the first update of a connection, which contains everything that the agent knows. Servers that it does not name are gone; hosts that it does not name may just be unknown to the agent yet. */
	whole: boolean;
	config: FeedConfig | undefined;
	hosts: readonly HostStatus[];
	hostsGone: readonly HostId[];
	servers: readonly FeedServer[];
	serversGone: readonly ServerId[];
	/** Summaries of all other zones if any of them has changed; absent otherwise. */
	zones?: readonly FeedZone[];
	/** Age of the platform's last confirmation; `undefined` if there was none. */
	confirmedAgeMs: Milliseconds | undefined;
	/** Lowest incarnation that the entry may use, above those of earlier entries. */
	incarnationFloor: Incarnation;
};

export const feedEvents = {
	ping: 'feed-ping',
	update: 'feed-update',
	leaving: 'feed-leaving',
} as const;

/** Call from the agent to its entry for the configuration that the entry holds. */
export const feedConfigCall = 'feed-config';

/** Event from the entry: a server refused work with `leaving`. */
export type FeedLeaving = {
	server: ServerId;
};
