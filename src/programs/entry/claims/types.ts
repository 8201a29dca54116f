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
	/** The entry's hello message to peers; its `host` is the slot for which the entry acts as a witness. */
	hello: () => PeerHello;
	/** `IP:port` of this entry's own peer port. */
	toAddress: () => string;
	toView: () => FleetView | undefined;
	clock: Clock;
	random: Random;
	log: Log;
	tls?: () => PeerKeys;
	/** Timeout of a request to one witness; 1,000 by default. */
	askTimeoutMs?: Milliseconds;
	/** Greatest difference between a caller's clock and a host's; 241,000 by default. After all hosts have lost their memory, work that is not repeatable is refused for this long. */
	clockBoundMs?: Milliseconds;
	runs?: RunTableOptions;
};

export type KeyedRequest = {
	workspace: WorkspaceId;
	/** Key as returned by `parseIdempotencyKey`. */
	key: string;
	/** Digest of the body and of everything else that distinguishes the work, such as the path. */
	digest: string;
	isRepeatable: boolean;
	/** Called when the answer has no reader left; the run may be cancelled. */
	onAbandoned?: () => void;
};

export type Claimed =
	/** Only this process may dispatch the work, and it must end the writer. Ending the run as `retryable` releases the claim. */
	| {kind: 'run'; writer: RunWriter; reader: RunReader}
	/** The work is running or has run; the reader gives its answer from the first byte. */
	| {kind: 'join'; reader: RunReader; host: HostId}
	| {kind: 'refused'; problem: Problem};

export type Claims = {
	/** Handles calls from other entries; throws if the method does not belong to claims. */
	onCall: CallHandler;
	onEvent: EventHandler;
	/** Whether a method belongs to claims. */
	isOwnMethod: (method: string) => boolean;
	claim: (request: KeyedRequest) => Promise<Claimed>;
	/** Takes over the table that the previous process of this slot handed to a peer, if any. Call it once, after the first view; it asks peers for up to 30 seconds. */
	takeOver: () => Promise<boolean>;
	/** Whether the take-over has finished or timed out; the host accepts requests from then on. */
	isSettled: () => boolean;
	/** Removes expired state; call it about once a second. */
	tick: () => void;
	/** Stops vouching for keys and hands the table to one peer. Call it last, before `close`. */
	leave: () => Promise<boolean>;
	/** Closes the connections to peers. */
	close: () => void;
	stats: () => {runs: number; keptBytes: number; claims: number; isVouching: boolean; vouchesFrom: Milliseconds};
};
