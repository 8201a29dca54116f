/** Types that the modules of the storm share. */

export const callKinds = ['question', 'letter', 'scene', 'desk lookup', 'desk change'] as const;
export type CallKind = (typeof callKinds)[number];

/** Times are monotonic milliseconds throughout. */
export type Span = {
	from: number;
	/** `Infinity` while the span has not ended. */
	to: number;
};

/** One piece of work of a caller, which may send it more than once. */
export type Work = {
	/** First word of the prompt, or last segment of the path; the counts of the stand-ins are found by it. */
	id: string;
	kind: CallKind;
	workspace: string;
	key: string | undefined;
	maxTokens: number;
	isStreamed: boolean;
};

/** What the caller received for one call. */
export type Answer = {
	/** HTTP status; 0 when no answer began. */
	status: number;
	requestId: string;
	text: string;
	/** Whether the answer claims to be complete. */
	isClaimedWhole: boolean;
	/** Whether the answer is the complete answer to its own request. */
	isExpected: boolean;
	/** Whether the text received, complete or not, is a prefix of the answer to its own request. */
	isBeginning: boolean;
	outcome: string | undefined;
	problem: string | undefined;
	/** Whether the answer ended without an outcome. */
	isBroken: boolean;
	/** Error code of a broken connection. */
	errorCode: string | undefined;
};

/** One call as its caller saw it, with the counts that the stand-ins had for its work. */
export type Sent = Span & {
	work: Work;
	host: string;
	hasLeft: boolean;
	/** Whether the call was still open after a time that exceeds all targets. */
	isHung: boolean;
	answer: Answer;
	/** Starts of this work counted before the call was sent. */
	begunBefore: number;
	/** Starts of this work counted after an answer with outcome `not-run`; `undefined` for any other answer. */
	begunAfter: number | undefined;
	/** Starts under the request id of this call, counted at the same moment as `begunAfter`. */
	begunAsRequest: number | undefined;
};

export const faultKinds = [
	'kill entry',
	'kill agent',
	'kill host',
	'pause entry',
	'pause agent',
	'pause host',
	'restart host',
	'twin host',
	'cut zone off',
	'cut zones apart',
	'cut zones one way',
	'cut zone from platform',
	'stale platform',
	'old platform',
	'platform down',
	'crash engine',
	'lose cancels',
	'break streams',
	'cross streams',
	'drop desk calls',
	'refuse work',
	'publish good',
	'publish bad',
] as const;
export type FaultKind = (typeof faultKinds)[number];

export type PlannedFault = {
	kind: FaultKind;
	/** Milliseconds after the start of the storm. */
	atMs: number;
	forMs: number;
	/** A host, a zone or a server; two zones for a cut between zones. */
	targets: readonly string[];
	/** Selects one of the variants of a fault. */
	variant: number;
};

/** A fault with the time span in which it was in effect. */
export type InjectedFault = Span & Pick<PlannedFault, 'kind' | 'targets'>;

/** A case in which a program showed an older configuration after a newer one. */
export type Reversion = {
	host: string;
	program: 'entry' | 'agent';
	/** Whether the same process showed both. */
	isSameLife: boolean;
	from: string;
	to: string;
	at: number;
};
