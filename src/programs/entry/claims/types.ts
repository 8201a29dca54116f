import {
	type CallHandler, type EventHandler, type PeerHello, type PeerKeys,
} from '../../../adapters/peer-tcp/index.js';
import {type Log} from '../../../adapters/log/index.js';
import {type RunReader, type RunTableOptions, type RunWriter} from '../../../domain/create-run-table/index.js';
import {type Problem} from '../../../domain/to-problem/index.js';
import {type Clock, type Milliseconds, type Random} from '../../../ports/clock.js';
import {type HostId, type WorkspaceId} from '../../../ports/ids.js';
import {type FleetView} from '../../../ports/view.js';

export type ClaimsOptions = {
	/** How this entry introduces itself; its `host` is the slot that it witnesses for. */
	hello: () => PeerHello;
	/** `IP:port` of this entry's own peer port. */
	toAddress: () => string;
	toView: () => FleetView | undefined;
	clock: Clock;
	random: Random;
	log: Log;
	tls?: () => PeerKeys;
	/** Time for one witness to answer; 1,000 by default. */
	askTimeoutMs?: Milliseconds;
	/** Greatest difference between a caller's clock and a host's; 241,000 by default. Work that is not repeatable is refused for this long after all hosts have lost their memory. */
	clockBoundMs?: Milliseconds;
	runs?: RunTableOptions;
};

export type KeyedRequest = {
	workspace: WorkspaceId;
	/** As `parseIdempotencyKey` gives it. */
	key: string;
	/** Digest of the body, and of all else that makes it other work, such as the path. */
	digest: string;
	isRepeatable: boolean;
	/** Nobody reads the answer any more: the run may be cancelled. */
	onAbandoned?: () => void;
};

export type Claimed =
	/** This process alone may dispatch the work, and must end the writer. An end that frees the key gives the claim back. */
	| {kind: 'run'; writer: RunWriter; reader: RunReader}
	/** The work runs or ran; its answer is read from the first byte. */
	| {kind: 'join'; reader: RunReader; host: HostId}
	| {kind: 'refused'; problem: Problem};

export type Claims = {
	/** Calls of other entries; throws on methods that are not of this part. */
	onCall: CallHandler;
	onEvent: EventHandler;
	/** Whether a call is of this part. */
	isOwnMethod: (method: string) => boolean;
	claim: (request: KeyedRequest) => Promise<Claimed>;
	/** Takes over the table that the previous process of this slot left with a peer, if any; to be called once, after the first view. Asks for up to 30 seconds. */
	takeOver: () => Promise<boolean>;
	/** Whether the take-over has come to an end, or has had its time; a host takes requests from then on. */
	isSettled: () => boolean;
	/** Housekeeping; to be called every second or so. */
	tick: () => void;
	/** Ends vouching and hands the table to one peer. The last thing before `close`. */
	leave: () => Promise<boolean>;
	/** Closes the connections to peers. */
	close: () => void;
	stats: () => {runs: number; keptBytes: number; claims: number; isVouching: boolean; vouchesFrom: Milliseconds};
};
