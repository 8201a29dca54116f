/** Types shared by the modules that run a request. */
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
import {type SharedRetryPool} from '../../../ports/retries.js';
import {type FleetView} from '../../../ports/view.js';
import {type Account} from '../accounts/index.js';
import {type CancelQueue} from '../cancel-queue/index.js';
import {type Gate} from '../gate/index.js';
import {type OutcomeLedger} from '../outcome-ledger/index.js';
import {type RunStream} from './create-run-stream.js';

/** Why a run was aborted. */
export type EndCause = 'caller-gone' | 'deadline-passed' | 'stopping';

/** End of a complete answer. */
export type AnswerEnd = {
	finish: FinishReason;
	usage: Usage;
};

/** Sends an answer to its caller. */
export type Delivery = {
	/** Relays text of the answer; `false` means back-pressure: wait for `drained` before the next call. */
	relay: (text: string) => boolean;
	/** Resolves when the caller has read what was written; `false` if the caller read nothing for too long. */
	drained: () => Promise<boolean>;
	complete: (end: AnswerEnd, tokens: readonly string[]) => void;
	fail: (problem: Problem) => void;
};

/** One request, from its matched rule to its end. */
export type Run = {
	id: RequestId;
	workspace: WorkspaceId;
	rule: Rule;
	request: CompletionRequest;
	/** Model of the pool; the rule may map other names to it. */
	model: string;
	version: string | undefined;
	/** An estimate. */
	promptTokens: number;
	prefixBlocks: readonly string[];
	receivedAt: Milliseconds;
	firstTokenDeadline: Milliseconds;
	deadline: Milliseconds;
	/** Aborted with an {@link EndCause} as its reason. */
	signal: AbortSignal;
	/** Resolves once the signal tells of each close of the caller's connection that had arrived before. */
	readClose: () => Promise<void>;
	buffer: AnswerBuffer;
	ledger: OutcomeLedger;
	delivery: Delivery;
	/** At which servers the answer may go on. */
	stream: RunStream;
	account: Account;
	log: Log;
};

/** Why the result of a prefill was not used. */
export type WasteCause = 'caller-gone' | 'deadline-passed' | 'expired' | 'transfer' | 'server-lost' | 'stopping';

/** Metrics that a run records. */
export type RunMetrics = {
	firstToken: (run: Run, ms: Milliseconds) => void;
	countDroppedChunk: (cause: DropCause) => void;
	countResume: () => void;
	countRerun: () => void;
	/** Counts a failed call by whether a retry was granted, or why not, and the cost charged to the retry budget. */
	countRetryDecision: (decision: 'granted' | 'granted-shared' | NoRetryReason, cost: number) => void;
	countWastedPrefill: (cause: WasteCause, promptTokens: number) => void;
};

/** Services of the entry that runs share. */
export type RunServices = {
	clock: Clock;
	random: Random;
	toOwner: () => Owner;
	toView: () => FleetView | undefined;
	toEngine: (server: ServerEntry) => Engine;
	placement: ReturnType<typeof createPlacement>;
	gate: Gate;
	cancels: CancelQueue;
	/** Tells the fleet that a server refused a call because it is leaving. */
	reportLeaving: (server: ServerId) => void;
	toRetryBudget: (pool: string) => RetryBudget;
	/** Retries that the hosts spend together; absent where each host has its own budget alone. */
	sharedRetries?: SharedRetryPool | undefined;
	transferTimeouts: TransferTimeouts;
	runMetrics: RunMetrics;
	reservationTtlMs: Milliseconds;
};
