/** What the parts of a request's task share. */
import {type AnswerBuffer, type DropCause} from '../../../domain/create-answer-buffer/index.js';
import {type createPlacement} from '../../../domain/create-placement/index.js';
import {type NoRetryReason, type RetryBudget} from '../../../domain/create-retry-budget/index.js';
import {type Usage} from '../../../domain/create-sse-encoder/index.js';
import {type CompletionRequest} from '../../../domain/parse-completion-request/index.js';
import {type Problem} from '../../../domain/to-problem/index.js';
import {type TransferTimeouts} from '../../../domain/create-transfer-timeouts/index.js';
import {type Log} from '../../../adapters/log/index.js';
import {type Clock, type Milliseconds, type Random} from '../../../ports/clock.js';
import {type Rule, type ServerEntry} from '../../../ports/config.js';
import {type Engine, type FinishReason} from '../../../ports/engine.js';
import {
	type Owner, type RequestId, type ServerId, type WorkspaceId,
} from '../../../ports/ids.js';
import {type FleetView} from '../../../ports/view.js';
import {type Account} from '../accounts/index.js';
import {type CancelQueue} from '../cancel-queue/index.js';
import {type Gate} from '../gate/index.js';
import {type OutcomeLedger} from '../outcome-ledger/index.js';

/** Why a run was told to end. */
export type EndCause = 'caller-gone' | 'deadline-passed' | 'stopping';

/** A whole answer's end. */
export type AnswerEnd = {
	finish: FinishReason;
	usage: Usage;
};

/** The way back to the caller, or to whichever caller has the delivery now. */
export type Delivery = {
	/** Relays tokens; `false` asks to wait for `drained`. */
	relay: (text: string) => boolean;
	/** `false` when the caller read nothing for too long. */
	drained: () => Promise<boolean>;
	complete: (end: AnswerEnd, tokens: readonly string[]) => void;
	fail: (problem: Problem) => void;
};

/** One request on its way, from rule to end. */
export type Run = {
	id: RequestId;
	workspace: WorkspaceId;
	rule: Rule;
	request: CompletionRequest;
	/** Model that the pool serves; the rule may map other names to it. */
	model: string;
	version: string | undefined;
	/** Estimated. */
	promptTokens: number;
	prefixBlocks: readonly string[];
	receivedAt: Milliseconds;
	firstTokenDeadline: Milliseconds;
	deadline: Milliseconds;
	/** Aborted with an {@link EndCause} as its reason. */
	signal: AbortSignal;
	buffer: AnswerBuffer;
	ledger: OutcomeLedger;
	delivery: Delivery;
	account: Account;
	log: Log;
};

/** Work done for nothing, by what made it so. */
export type WasteCause = 'caller-gone' | 'deadline-passed' | 'expired' | 'transfer' | 'server-lost' | 'stopping';

/** Counts of what happened, for metrics. */
export type RunMetrics = {
	firstToken: (run: Run, ms: Milliseconds) => void;
	countDroppedChunk: (cause: DropCause) => void;
	countResume: () => void;
	countRerun: () => void;
	/** A call failed, and another attempt was granted or, for the reason named, not. */
	countRetryDecision: (decision: 'granted' | NoRetryReason, cost: number) => void;
	countWastedPrefill: (cause: WasteCause, promptTokens: number) => void;
};

/** What a run needs of the program around it. */
export type RunServices = {
	clock: Clock;
	random: Random;
	toOwner: () => Owner;
	toView: () => FleetView | undefined;
	toEngine: (server: ServerEntry) => Engine;
	placement: ReturnType<typeof createPlacement>;
	gate: Gate;
	cancels: CancelQueue;
	/** Tells the fleet that a server refused because it leaves. */
	reportLeaving: (server: ServerId) => void;
	toRetryBudget: (pool: string) => RetryBudget;
	transferLimits: TransferTimeouts;
	runMetrics: RunMetrics;
	reservationTtlMs: Milliseconds;
};
