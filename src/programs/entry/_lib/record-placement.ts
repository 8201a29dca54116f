import {type Placement, type PlainPlacement} from '../../../domain/create-placement/index.js';
import {type ServerId} from '../../../ports/ids.js';
import {type Account} from '../accounts/index.js';

/** Number of passed-over servers that an account lists by name; its counts include all of them. */
const maxPassedOverRows = 16;

/**
 * Records a placement in a request's account. The reasons why servers were passed
 * over are computed when the account is read, because they cost more than the
 * pick itself. The returned placement holds no reference to the fleet view: a
 * stream keeps its placement until its end, and each open stream would otherwise
 * keep a view of the whole fleet in memory.
 *
 * @param account - Account of the request.
 * @param placement - The picked servers.
 * @param details - Pool, chosen servers, and other details for the account.
 * @returns The placement to use from here on.
 */
export function recordPlacement<T extends Placement | PlainPlacement>(account: Account, placement: T, details: {pool: string; chosen: readonly ServerId[]} & Readonly<Record<string, unknown>>): T {
	const {account: toAccount} = placement;
	const {pool, chosen} = details;
	account.addLazyStage('placed', details, () => {
		const {passedOver, counts, notLookedAt} = toAccount();
		return {passedOver: passedOver.slice(0, maxPassedOverRows), counts, notLookedAt};
	});
	return {
		...placement, account: () => ({
			pool, chosen, passedOver: [], counts: {}, notLookedAt: 0,
		}),
	};
}
