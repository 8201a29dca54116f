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
	details?: Details | undefined;
};

export type AccountDocument = {
	requestId: RequestId;
	/** Wall-clock time at which the request came in, ISO 8601. */
	receivedAt: string;
	stages: readonly AccountStage[];
	/** Stages that were left out because there were too many. */
	omitted: number;
};

type Details = Readonly<Record<string, unknown>>;

export type Account = {
	addStage: (stage: string, details?: Details) => void;
	/**
	 * Notes a stage of which a part is dear. `computeDetails` is called when the account
	 * is read, or by {@link Account.resolveDetails}, and tells what is so at that moment;
	 * it is let go with {@link maxUnresolvedStages} newer ones, and the stage then stays
	 * without that part.
	 */
	addLazyStage: (stage: string, details: Details, computeDetails: () => Details) => void;
	/** Works out now what stages noted so far have left for a reader. */
	resolveDetails: () => void;
};

export type Accounts = {
	open: (requestId: RequestId) => Account;
	findAccount: (requestId: RequestId) => AccountDocument | undefined;
	size: () => number;
};

type StoredAccount = {
	receivedAt: Milliseconds;
	stages: AccountStage[];
	omitted: number;
};

export type AccountsOptions = {
	/** Requests kept; the oldest makes room. */
	limit: number;
	now: () => Milliseconds;
	wallNow: () => Milliseconds;
};

/** Parts of accounts not worked out that are kept over all requests: each may hold a view of the whole fleet. */
export const maxUnresolvedStages = 16;

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
	const entries = new Map<RequestId, StoredAccount>();
	/** In the order in which they were noted. */
	const unresolved = new Map<AccountStage, () => Details>();

	function resolveDetails(stages: readonly AccountStage[]): void {
		for (const stage of stages) {
			const computeDetails = unresolved.get(stage);
			if (computeDetails !== undefined) {
				unresolved.delete(stage);
				stage.details = {...stage.details, ...computeDetails()};
			}
		}
	}

	return {
		open(requestId) {
			const start = now();
			const entry: StoredAccount = {receivedAt: wallNow(), stages: [], omitted: 0};
			entries.set(requestId, entry);
			if (entries.size > limit) {
				entries.delete(entries.keys().next().value!);
			}

			const add = (stage: string, details?: Details): AccountStage | undefined => {
				if (entry.stages.length >= maxStages) {
					entry.omitted++;
					return undefined;
				}

				const added: AccountStage = {stage, atMs: Math.round((now() - start) * 100) / 100, details};
				entry.stages.push(added);
				return added;
			};

			return {
				addStage(stage, details) {
					add(stage, details);
				},
				addLazyStage(stage, details, computeDetails) {
					const added = add(stage, details);
					if (added === undefined) {
						return;
					}

					unresolved.set(added, computeDetails);
					if (unresolved.size > maxUnresolvedStages) {
						unresolved.delete(unresolved.keys().next().value!);
					}
				},
				resolveDetails() {
					resolveDetails(entry.stages);
				},
			};
		},
		findAccount(requestId) {
			const entry = entries.get(requestId);
			resolveDetails(entry?.stages ?? []);
			return entry && {
				requestId, receivedAt: new Date(entry.receivedAt).toISOString(), stages: entry.stages, omitted: entry.omitted,
			};
		},
		size: () => entries.size,
	};
}
