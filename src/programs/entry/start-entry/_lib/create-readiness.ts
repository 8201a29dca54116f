/** Whether the entry wants callers, and why not. */
import {type Log} from '../../../../adapters/log/index.js';
import {type ReadinessReason} from '../../../../adapters/operator-http/index.js';
import {type FleetLink} from '../../_lib/join-fleet.js';
import {findNotReady} from '../../_lib/to-entry-status.js';
import {type RunServices} from '../../_lib/types.js';

export type ReadinessParts = {
	link: FleetLink;
	services: RunServices;
	log: Log;
	/** Whether hosts of other zones were heard before, and none is any more; `undefined` where hosts tell each other nothing. */
	isIsolated: (() => boolean) | undefined;
	isStopping: () => boolean;
};

/** Neither sign alone says that others can serve this host's callers: the platform may be down for all, and other zones' hosts may have been killed. */
function isCutOff({link, services, isIsolated}: ReadinessParts): boolean {
	const view = link.toView();
	return view !== undefined
		&& isIsolated?.() === true
		&& !link.isConnected()
		&& services.placement.isAnyPoolSuspect(view, services.clock.now());
}

/**
 * Creates the answer to the balancer's question.
 *
 * @param parts - What it depends on.
 * @returns Tells why the entry takes no requests, empty when it does, with a line when that changes.
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
