import {type Milliseconds} from '../../ports/clock.js';
import {type HostId, type Incarnation, type WorkspaceId} from '../../ports/ids.js';

/** The process that claims a key, and the address at which others may join its run. */
export type Claimant = {
	host: HostId;
	incarnation: Incarnation;
	/** `IP:port` on which the claimant's entry accepts calls of peers. */
	address: string;
};

/** A key within its workspace; two workspaces may use one UUID. */
export type ScopedKey = {
	workspace: WorkspaceId;
	/** UUID of version 7, lower case. */
	key: string;
};

/** A claim as a witness keeps it. */
export type Claim = {
	/** Id of this attempt; a claimant uses a new one for each attempt, so that a late release cannot undo a later claim. */
	claimId: string;
	claimant: Claimant;
	/** Digest of the request's body; a different digest under the same key is a conflict. */
	digest: string;
	/** Whether the work may be run again, and the claim may be taken over. */
	isRepeatable: boolean;
};

export type ClaimRequest = ScopedKey & Claim & {
	/** For repeatable work: the claim of a dead claimant to take over. */
	replaces?: string;
};

/**
 * Why a witness abstains from granting a key.
 *
 * - `restarted`: the key is so old that an earlier incarnation, whose memory is lost, may have granted it.
 * - `expired`: the key is older than the retention time of claims.
 * - `future`: the key's time is further ahead than clocks may differ.
 * - `full`: there is no room for another claim.
 * - `leaving`: the table was frozen to be handed over.
 * - `malformed`: the key is not a UUID of version 7.
 */
export type AbstainReason = 'restarted' | 'expired' | 'future' | 'full' | 'leaving' | 'malformed';

export type ClaimAnswer =
	| {kind: 'granted'; incarnation: Incarnation}
	| {kind: 'held'; incarnation: Incarnation; claim: Claim}
	| {
		kind: 'abstained';
		incarnation: Incarnation;
		reason: AbstainReason;
		/** Time after which a retry may be granted: for `restarted` with a key minted then, else with the same key; `undefined` where waiting does not help. */
		retryAfterMs: Milliseconds | undefined;
	};

/** The table that a leaving witness hands over to its successor in the same host slot. */
export type WitnessHandOver = {
	slot: HostId;
	/** Incarnation that froze the table. */
	incarnation: Incarnation;
	/** Only keys minted after this are granted, wall-clock milliseconds. */
	vouchesFrom: Milliseconds;
	/** Keys minted before this may have been forgotten, wall-clock milliseconds. */
	floor: Milliseconds;
	claims: ReadonlyArray<ScopedKey & Claim>;
};

/** Safeguards that a model may disable, to show that each is needed. */
export type WitnessSafeguard = 'write-once' | 'restart-abstention' | 'retention-floor' | 'claim-id' | 'freeze';

export type ClaimWitnessOptions = {
	slot: HostId;
	incarnation: Incarnation;
	/** Wall-clock time at which this incarnation's memory began. */
	startedAt: Milliseconds;
	/** Maximum difference between a caller's clock and this host's; 241,000 by default. */
	clockBoundMs?: Milliseconds;
	/** Age, by a key's own time, up to which its claim is kept and beyond which the key is refused; 900,000 plus the clock bound by default. */
	retentionMs?: Milliseconds;
	/** Maximum number of claims kept, 200,000 by default (about 450 bytes each); at the maximum the witness abstains and drops none. */
	maxClaims?: number;
	/** Safeguards to disable; only for models. */
	omit?: readonly WitnessSafeguard[];
};

export type ClaimWitness = {
	claim: (req: ClaimRequest, now: Milliseconds) => ClaimAnswer;
	/** Withdraws a claim that its claimant will never dispatch. Other claims of the key stay. */
	release: (req: ScopedKey & {claimId: string}) => void;
	/** Drops claims of keys that are refused for their age. */
	sweep: (now: Milliseconds) => void;
	/** Stops granting for good and returns the table for the successor; `undefined` when the table was frozen before. */
	freeze: (now: Milliseconds) => WitnessHandOver | undefined;
	/** Merges a predecessor's table; returns `false` when it is of another slot or of this incarnation itself, or when this table is frozen. */
	adopt: (handOver: WitnessHandOver) => boolean;
	/** Figures for metrics and readiness. */
	stats: () => {claims: number; vouchesFrom: Milliseconds; isVouching: boolean};
};
