/**
 * Messages between hosts about what workspaces use of their limits. For each
 * workspace one host, the keeper, counts the use of all hosts; the others ask it
 * before they run a request.
 */
import {type Milliseconds} from './clock.js';
import {type WorkspaceId} from './ids.js';

/** Sustained rate and burst of a token bucket, in units of the limit. */
export type BucketRate = {
	perSecond: number;
	burst: number;
};

/** Use of a workspace, with the limit that the sender's configuration states. */
export type QuotaSpend = {
	workspace: WorkspaceId;
	/** Units used; negative for use that is given back. */
	cost: number;
	/** Edition of the sender's configuration; of two limits the one of the later edition applies. */
	edition: number;
	rate: BucketRate;
	/** Whether one request of each host at once would exceed the limit, so that a host that decides alone must first wait for its part. Not told to other hosts. */
	isScarce?: boolean;
};

export type QuotaVerdict = {
	isGranted: boolean;
	/** Time until the next request of this cost may be granted; 0 if it may now. */
	waitMs: Milliseconds;
};

export type QuotaMessage =
	| {
		kind: 'ask';
		/** Number of the question, unique within the process that asks. */
		id: number;
		/** `IP:port` of the host that asks. */
		origin: string;
		spend: QuotaSpend;
		/** Whether the receiver must decide itself; otherwise it may forward the question. */
		isFinal: boolean;
		/** Number of hosts ranked before the receiver that did not answer the host that asks. */
		skipped: number;
		/** Host that the sender would ask next, and that knows what the receiver granted; empty if there is none. */
		successor: string;
	}
	| ({kind: 'verdict'; id: number} & QuotaVerdict)
	/** Tells the host that would take over from the keeper what was used. */
	| {kind: 'spent'; spend: QuotaSpend};

/** Limits of workspaces as a host enforces them, together with others or alone. */
export type Quotas = {
	/** Asks for leave to use a workspace's limit. */
	take: (spend: QuotaSpend) => Promise<QuotaVerdict>;
	/** Gives back what was granted, because the request was not run. */
	giveBack: (spend: QuotaSpend) => void;
};
