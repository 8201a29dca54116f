/**
 * Keeps accounts of the last requests, which show operators how each was handled.
 */
import {type Milliseconds} from '../../../ports/clock.js';
import {type RequestId} from '../../../ports/ids.js';

export type AccountStage = {
	stage: string;
	/** Milliseconds since the request was received. */
	atMs: Milliseconds;
	/** Details of the decision or event; never text of a prompt or an answer. */
	details?: Details | undefined;
};

export type AccountDocument = {
	requestId: RequestId;
	/** Wall-clock time at which the request was received, ISO 8601. */
	receivedAt: string;
	stages: readonly AccountStage[];
	/** Number of stages left out because there were too many. */
	omitted: number;
};

type Details = Readonly<Record<string, unknown>>;

export type Account = {
	addStage: (stage: string, details?: Details) => void;
	/**
	 * Adds a stage with details that are expensive to compute. `computeDetails` is
	 * called when the account is read, or by {@link Account.resolveDetails}, and
	 * returns the details as of that moment. It is dropped when
	 * {@link maxUnresolvedStages} newer ones exist; the stage then stays without them.
	 */
	addLazyStage: (stage: string, details: Details, computeDetails: () => Details) => void;
	/** Computes the outstanding details of all stages added so far. */
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
	/** Maximum number of requests kept; the oldest is dropped first. */
	limit: number;
	now: () => Milliseconds;
	wallNow: () => Milliseconds;
};

/** Maximum number of stages with outstanding details, over all requests; each may keep a view of the whole fleet in memory. */
export const maxUnresolvedStages = 16;

/** Bounds the account of a request that is retried many times. */
const maxStages = 100;

/**
 * Creates the store of accounts.
 *
 * @param options - Number of requests to keep, and clocks.
 * @returns The store.
 */
export function createAccounts(options: AccountsOptions): Accounts {
	const {limit, now, wallNow} = options;
	const entries = new Map<RequestId, StoredAccount>();
	/** Functions that compute outstanding details, oldest first. */
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
