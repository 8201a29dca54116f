/** What the agent takes and offers. */
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
	/** Told of the servers of each new configuration, to let go of the clients of others. */
	keepOnly?: (servers: ReadonlySet<ServerId>) => void;
	log: Log;
	/** Other live hosts from which on zones tell each other summaries and not the loads of all servers; 40 by default. */
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

/** Something that staff should mend, and how. */
export type AgentReason = {reason: string; remedy: string};

export type Agent = {
	peerPort: number;
	view: () => FleetView;
	counts: () => AgentCounts;
	notices: () => DocumentNotices;
	/** Orders that wait, and for what. */
	heldOrders: () => HeldOrders;
	/** Whether it has a configuration and may be relied on; with reasons when not. */
	notReadyReasons: () => readonly AgentReason[];
	/** What needs somebody's attention although the agent may be relied on. */
	warnings: () => readonly AgentReason[];
	/** Address of another live agent under this host's name, while there is one. */
	twin: () => string | undefined;
	/** Takes changed keys for new connections. */
	reloadKeys: () => void;
	/** Says goodbye to the peers and ends. */
	stop: () => Promise<void>;
};
