import {type Placement, type PlainPlacement} from '../../../domain/create-placement/index.js';
import {type ServerId} from '../../../ports/ids.js';
import {type Account} from '../accounts/index.js';

/** Servers passed over that an account keeps by name; the counts hold them all. */
const maxPassedOverRows = 16;

/**
 * Notes a placement in a request's account. Why servers were passed over is left
 * to a reader of the account, because working it out costs more than the pick
 * itself. The placement handed back holds no view: kept for the life of a
 * stream, each open stream would hold a view of the whole fleet of its own.
 *
 * @param account - Account of the request.
 * @param placement - What was picked.
 * @param details - Pool and chosen servers, and what else the account keeps.
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
