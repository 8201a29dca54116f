/** Readiness of the entry. */
import {type Log} from '../../../../adapters/log/index.js';
import {type ReadinessReason} from '../../../../adapters/operator-http/index.js';
import {type FleetLink} from '../../_lib/join-fleet.js';
import {findNotReady} from '../../_lib/to-entry-status.js';
import {type RunServices} from '../../_lib/types.js';

export type ReadinessParts = {
	link: FleetLink;
	services: RunServices;
	log: Log;
	/** Whether hosts of other zones were heard before but none is any more; `undefined` if hosts don't exchange loads. */
	isIsolated: (() => boolean) | undefined;
	isStopping: () => boolean;
};

/** Whether this host is partitioned from the rest of the fleet. All signs are required, because one alone does not show that other hosts can serve its callers: the platform may be down for all hosts, or the hosts of other zones may have been killed. */
function isCutOff({link, services, isIsolated}: ReadinessParts): boolean {
	const view = link.toView();
	return view !== undefined
		&& isIsolated?.() === true
		&& !link.isConnected()
		&& services.placement.isAnyPoolSuspect(view, services.clock.now());
}

/**
 * Creates the readiness check for the load balancer.
 *
 * @param parts - Parts of the entry that readiness depends on.
 * @returns Function that returns the reasons why the entry is not ready, none if it is ready, and logs each change.
 */
export function createReadiness(parts: ReadinessParts): () => ReadinessReason[] {
	const {link, log, isStopping} = parts;
	let last = '';
	return () => {
		const reasons = findNotReady(link.toView(), {isStopping: isStopping(), isCutOff: isCutOff(parts), areClaimsSettled: link.claims?.isSettled() ?? true});
		const text = reasons.map(({reason}) => reason).join('; ');
		if (text !== last) {
			log.info(text === '' ? 'ready' : 'not ready', {reason: text === '' ? undefined : text});
			last = text;
		}

		return reasons;
	};
}
