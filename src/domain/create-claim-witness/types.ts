import {type Milliseconds} from '../../ports/clock.js';
import {type HostId, type Incarnation, type WorkspaceId} from '../../ports/ids.js';

/** The process that asks to run a key, and where others may join its run. */
export type Claimant = {
	host: HostId;
	incarnation: Incarnation;
	/** `IP:port` on which the claimant's entry takes calls of peers. */
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
	/** Names this try to claim; a claimant uses a new one each time, so that a late release cannot undo a later claim. */
	claimId: string;
	claimant: Claimant;
	/** Digest of the request's body; another one under the same key is a misuse. */
	digest: string;
	/** Whether the work may be run again, and the claim be taken over. */
	isRepeatable: boolean;
};

export type ClaimRequest = ScopedKey & Claim & {
	/** For repeatable work: the claim of a dead claimant to take over. */
	replaces?: string;
};

/**
 * Why a witness does not vouch for a key.
 *
 * - `restarted`: the key is so old that an earlier incarnation, whose memory is lost, may have granted it.
 * - `expired`: the key is older than claims are kept.
 * - `future`: the key's time is further ahead than clocks may differ.
 * - `full`: there is no room for another claim.
 * - `leaving`: the table was frozen to be handed over.
 * - `malformed`: the key is no UUID of version 7.
 */
export type AbstainReason = 'restarted' | 'expired' | 'future' | 'full' | 'leaving' | 'malformed';

export type ClaimAnswer =
	| {kind: 'granted'; incarnation: Incarnation}
	| {kind: 'held'; incarnation: Incarnation; claim: Claim}
	| {
		kind: 'abstained';
		incarnation: Incarnation;
		reason: AbstainReason;
		/** When a key minted then would be vouched for; `undefined` where waiting does not help. */
		retryAfterMs: Milliseconds | undefined;
	};

/** What a leaving witness leaves to its successor in the same host slot. */
export type WitnessHandOver = {
	slot: HostId;
	/** Incarnation that froze the table. */
	incarnation: Incarnation;
	/** Keys minted after this are vouched for, wall-clock milliseconds. */
	vouchesFrom: Milliseconds;
	/** Keys minted before this may have been forgotten, wall-clock milliseconds. */
	floor: Milliseconds;
	claims: ReadonlyArray<ScopedKey & Claim>;
};

/** Safeguards that a model may take out, to show that each is needed. */
export type WitnessSafeguard = 'write-once' | 'restart-abstention' | 'retention-floor' | 'claim-id' | 'freeze';

export type ClaimWitnessOptions = {
	slot: HostId;
	incarnation: Incarnation;
	/** Wall-clock time at which this incarnation's memory began. */
	startedAt: Milliseconds;
	/** Greatest difference between a caller's clock and this host's; 241,000 by default. */
	clockBoundMs?: Milliseconds;
	/** Age, by a key's own time, to which its claim is kept and above which the key is refused; 900,000 plus the clock bound by default. */
	retentionMs?: Milliseconds;
	/** Claims kept at most, 200,000 by default (about 450 bytes each); at the bound the witness abstains and forgets none. */
	maxClaims?: number;
	/** For models alone. */
	omit?: readonly WitnessSafeguard[];
};

export type ClaimWitness = {
	claim: (req: ClaimRequest, now: Milliseconds) => ClaimAnswer;
	/** Withdraws a claim that its claimant will never dispatch. Other claims of the key are left. */
	release: (req: ScopedKey & {claimId: string}) => void;
	/** Forgets claims of keys that are refused for their age. */
	sweep: (now: Milliseconds) => void;
	/** Ends vouching for good and returns the table for the successor; `undefined` when there is nothing worth handing over. */
	freeze: (now: Milliseconds) => WitnessHandOver | undefined;
	/** Takes over a predecessor's table; `false` when it is another slot's or this incarnation's own. */
	adopt: (handOver: WitnessHandOver) => boolean;
	/** Figures for metrics and readiness. */
	stats: () => {claims: number; vouchesFrom: Milliseconds; isVouching: boolean};
};
