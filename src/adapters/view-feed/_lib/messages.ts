/**
 * What an agent and its entry tell each other. Times travel as ages, because
 * the two processes have no common clock.
 */
import {type ConfigVersion} from '../../../ports/config.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type LoadReport} from '../../../ports/engine.js';
import {type HostId, type Incarnation, type ServerId} from '../../../ports/ids.js';
import {type HostStatus, type ZoneSummary} from '../../../ports/view.js';

/** Event from the entry, each second: its own clock, to be echoed. */
export type FeedPing = {
	at: Milliseconds;
	/** `IP:port` on which the entry takes calls of peers. */
	entryAddress: string;
	/** The entry's present incarnation; it may have been raised since its hello. */
	incarnation: Incarnation;
	/** Version that the entry decides with; lets a restarted agent learn it from its entry. */
	configVersion: ConfigVersion | undefined;
	/** The entry finishes what it has and takes nothing new; absent means no. */
	stopping?: boolean;
};

/** A part under its digest. */
export type FeedPart = {
	sha256: string;
	text: string;
};

export type FeedConfig = {
	version: ConfigVersion;
	/** The document, or its root. */
	text: string;
	/** Those of its parts that the entry may not have; absent for a document in one file. */
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

/** Event from the agent: what changed since the update before. */
export type FeedUpdate = {
	/** The last clock value that the entry sent. */
	echoAt: Milliseconds;
	/** Time between the arrival of that value and the sending of this update, on the agent's clock. */
	echoAgeMs: Milliseconds;
	/** First update of a connection: it holds everything that the agent knows. Servers that it does not name are gone, hosts may not be known to it yet. */
	whole: boolean;
	config: FeedConfig | undefined;
	hosts: readonly HostStatus[];
	hostsGone: readonly HostId[];
	servers: readonly FeedServer[];
	serversGone: readonly ServerId[];
	/** Summaries of other zones, all of them when any has changed; absent when none has. */
	zones?: readonly FeedZone[];
	/** Age of the platform's last confirmation; `undefined` if there was none. */
	confirmedAgeMs: Milliseconds | undefined;
	/** Least incarnation that the entry may use: above those of the entries before it. */
	incarnationFloor: Incarnation;
};

export const feedEvents = {
	ping: 'feed-ping',
	update: 'feed-update',
	leaving: 'feed-leaving',
} as const;

/** Call from the agent to its entry for the configuration that the entry holds. */
export const feedConfigCall = 'feed-config';

/** Event from the entry: a server said itself that it is leaving. */
export type FeedLeaving = {
	server: ServerId;
};
