/**
 * Accounts of the last requests, for operators who ask what became of one.
 */
import {type Milliseconds} from '../../../ports/clock.js';
import {type RequestId} from '../../../ports/ids.js';

export type AccountStage = {
	stage: string;
	/** Milliseconds since the request came in. */
	atMs: Milliseconds;
	/** What was decided or happened; never text of a prompt or an answer. */
	details?: Readonly<Record<string, unknown>> | undefined;
};

export type AccountDocument = {
	requestId: RequestId;
	/** Wall-clock time at which the request came in, ISO 8601. */
	receivedAt: string;
	stages: readonly AccountStage[];
	/** Stages that were left out because there were too many. */
	omitted: number;
};

export type Account = {
	note: (stage: string, details?: Readonly<Record<string, unknown>>) => void;
};

export type Accounts = {
	open: (requestId: RequestId) => Account;
	findAccount: (requestId: RequestId) => AccountDocument | undefined;
	size: () => number;
};

export type AccountsOptions = {
	/** Requests kept; the oldest makes room. */
	limit: number;
	now: () => Milliseconds;
	wallNow: () => Milliseconds;
};

/** A request that is retried without end must not grow its account without end. */
const maxStages = 100;

/**
 * Creates the store of accounts.
 *
 * @param options - How many, and clocks.
 * @returns The store.
 */
export function createAccounts(options: AccountsOptions): Accounts {
	const {limit, now, wallNow} = options;
	const kept = new Map<RequestId, {receivedAt: Milliseconds; stages: AccountStage[]; omitted: number}>();

	return {
		open(requestId) {
			const start = now();
			const entry = {receivedAt: wallNow(), stages: [] as AccountStage[], omitted: 0};
			kept.set(requestId, entry);
			if (kept.size > limit) {
				kept.delete(kept.keys().next().value!);
			}

			return {
				note(stage, details) {
					if (entry.stages.length >= maxStages) {
						entry.omitted++;
						return;
					}

					entry.stages.push({stage, atMs: Math.round((now() - start) * 100) / 100, details});
				},
			};
		},
		findAccount(requestId) {
			const entry = kept.get(requestId);
			return entry && {
				requestId, receivedAt: new Date(entry.receivedAt).toISOString(), stages: entry.stages, omitted: entry.omitted,
			};
		},
		size: () => kept.size,
	};
}
