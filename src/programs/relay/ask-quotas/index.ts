/** Lets requests wait for leave of the host that keeps the counts of their workspace. */
import {type WorkspaceQuotas} from '../../../domain/create-workspace-quotas/index.js';
import {type Clock} from '../../../ports/clock.js';
import {type Quotas, type QuotaVerdict} from '../../../ports/quotas.js';
import {createOverdueTimer} from '../_lib/create-overdue-timer.js';

/**
 * Turns the decisions of a host's quotas into one promise for each request, and
 * calls them when an answer is overdue.
 *
 * @param quotas - The quotas of this host.
 * @param clock - Clock of the process.
 * @returns The quotas for callers' requests.
 */
export function askQuotas(quotas: WorkspaceQuotas, {now}: Pick<Clock, 'now'>): Quotas {
	const timer = createOverdueTimer(quotas, now);
	return {
		async take(spend) {
			return new Promise<QuotaVerdict>(resolve => {
				quotas.take(spend, now(), resolve);
				timer.schedule();
			});
		},
		giveBack(spend) {
			quotas.giveBack(spend, now());
		},
	};
}
