/** Options and interface of the agent. */
import {type Log} from '../../../adapters/log/index.js';
import {type PeerKeys} from '../../../adapters/peer-tcp/index.js';
import {type Clock, type Random} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type Engine} from '../../../ports/engine.js';
import {type ServerId} from '../../../ports/ids.js';
import {type Platform} from '../../../ports/platform.js';
import {type FleetView} from '../../../ports/view.js';
import {type AgentSettings} from '../../_settings/index.js';
import {type DocumentNotices} from './create-document-store.js';
import {type HeldOrders} from './watch-held-orders.js';

export type AgentOptions = {
	settings: Pick<AgentSettings, 'hostId' | 'zone' | 'bind' | 'peerPort' | 'seeds' | 'platformWait' | 'loadPollInterval' | 'heartbeatInterval' | 'suspectAfter' | 'deadAfter'>;
	clock: Clock;
	random: Random;
	platform: Platform;
	toEngine: (server: ServerEntry) => Engine;
	/** Called with the servers of each new configuration, to close the clients of all other servers. */
	keepOnly?: (servers: ReadonlySet<ServerId>) => void;
	log: Log;
	/** Number of other live hosts at which zones begin to exchange summaries instead of the loads of all servers; 40 by default. */
	smallFleet?: number;
	tls?: () => PeerKeys;
};

export type AgentCounts = {
	platformReads: number;
	orphansReleased: number;
	ordersGiven: number;
	/** Different configuration documents that were refused. */
	configsRefused: number;
	sentBytes: number;
	receivedBytes: number;
	connections: number;
};

/** A problem that an operator should fix, and how. */
export type AgentReason = {reason: string; remedy: string};

export type Agent = {
	peerPort: number;
	view: () => FleetView;
	counts: () => AgentCounts;
	notices: () => DocumentNotices;
	/** Orders that wait, each with the reason. */
	heldOrders: () => HeldOrders;
	/** Why the agent is not ready, for example because it has no configuration yet; empty when it is ready. */
	notReadyReasons: () => readonly AgentReason[];
	/** Problems that an operator should look at although the agent is ready. */
	warnings: () => readonly AgentReason[];
	/** Address of another live agent that uses this host's name; `undefined` when there is none. */
	twin: () => string | undefined;
	/** Uses changed keys for new connections. */
	reloadKeys: () => void;
	/** Tells the peers that this host leaves, then closes everything. */
	stop: () => Promise<void>;
};
