/** What the parts of a storm tell one another. */

export const callKinds = ['question', 'letter', 'scene', 'desk lookup', 'desk change'] as const;
export type CallKind = (typeof callKinds)[number];

/** Times are monotonic milliseconds throughout. */
export type Span = {
	from: number;
	/** Infinite while it lasts. */
	to: number;
};

/** One piece of work of a caller; it may be sent more than once. */
export type Work = {
	/** Begins its prompt or ends its path, by which the engines' and the desk's counts are found. */
	id: string;
	kind: CallKind;
	workspace: string;
	key: string | undefined;
	maxTokens: number;
	isStreamed: boolean;
};

/** What came back of one call. */
export type Answer = {
	/** 0 when no answer began. */
	status: number;
	requestId: string;
	text: string;
	/** The answer says of itself that it is complete. */
	isClaimedWhole: boolean;
	/** It is the whole answer to its own request. */
	isExpected: boolean;
	/** What came of it, be it whole or not, is the beginning of the answer to its own request. */
	isBeginning: boolean;
	outcome: string | undefined;
	problem: string | undefined;
	/** It ended without saying how. */
	isBroken: boolean;
	/** Error code of a connection that broke. */
	errorCode: string | undefined;
};

/** One call, as its caller saw it, with the count of its work at that moment. */
export type Sent = Span & {
	work: Work;
	host: string;
	hasLeft: boolean;
	/** Nothing ended it within a time beyond all targets. */
	isHung: boolean;
	answer: Answer;
	/** Starts of this work that had been counted when the call was sent. */
	begunBefore: number;
	/** The same when "not run" had been told; `undefined` for any other answer. */
	begunAfter: number | undefined;
	/** Starts under this call's own request id at that moment. */
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
	/** After the storm's start. */
	atMs: number;
	forMs: number;
	/** Host, zone or server; two zones for a cut between them. */
	targets: readonly string[];
	/** Chooses among the forms of a fault. */
	variant: number;
};

/** A fault as it struck. */
export type InjectedFault = Span & Pick<PlannedFault, 'kind' | 'targets'>;

/** A configuration that a program showed after a newer one. */
export type Reversion = {
	host: string;
	program: 'entry' | 'agent';
	/** Whether one and the same process showed both. */
	isSameLife: boolean;
	from: string;
	to: string;
	at: number;
};
