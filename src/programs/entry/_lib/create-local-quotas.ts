/** Limits of workspaces on a host that exchanges no counts with others. */
import {createQuotaKeeper} from '../../../domain/create-quota-keeper/index.js';
import {type Clock} from '../../../ports/clock.js';
import {type Quotas} from '../../../ports/quotas.js';

export type LocalQuotasOptions = {
	clock: Pick<Clock, 'now'>;
	/** Number of hosts that share the limits. */
	countHosts: () => number;
};

/**
 * Creates quotas of which this host grants an equal part.
 *
 * @param options - Clock, and the number of hosts that share the limits.
 * @returns The quotas.
 */
export function createLocalQuotas({clock, countHosts}: LocalQuotasOptions): Quotas {
	const keeper = createQuotaKeeper({startedAt: clock.now(), startupMs: 0});
	return {
		take: async spend => keeper.decide(spend, {share: 1 / Math.max(1, countHosts())}, clock.now()),
		giveBack(spend) {
			keeper.note({...spend, cost: -spend.cost}, clock.now());
		},
	};
}
