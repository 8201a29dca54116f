/** What operators see of an entry's state. */
import {toAge} from '../../../_lib/to-age/index.js';
import {type ReadinessReason} from '../../../adapters/operator-http/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type FleetView} from '../../../ports/view.js';
import {type FleetLink} from './join-fleet.js';
import {type RunRegistry} from './run-registry.js';
import {type RunServices} from './types.js';

/** A view of this age is no longer what the fleet looks like; requests are still served by it. */
const staleViewMs = 10_000;

export type EntryStatusInput = {
	link: FleetLink;
	services: RunServices;
	registry: RunRegistry;
	isStopping: boolean;
	openConnections: number;
};

/**
 * Tells why the entry takes no requests.
 *
 * @param view - The fleet as it knows it.
 * @param states - Whether a planned stop has begun, whether this host is cut off from what its callers need, and whether the claims of this slot's last process were sought.
 * @returns Reasons with remedies; empty when it takes requests.
 */
export function findNotReady(view: FleetView | undefined, {isStopping, isCutOff, areClaimsSettled}: {isStopping: boolean; isCutOff: boolean; areClaimsSettled: boolean}): ReadinessReason[] {
	if (isStopping) {
		return [{reason: 'this host is stopping'}];
	}

	if (view?.accepted === undefined) {
		return [{reason: 'no configuration is in force', remedy: 'see whether this host\'s agent runs and reaches the platform or a peer'}];
	}

	// Its callers are served by hosts of other zones, which reach what it does not; while it called itself ready, each was refused.
	if (isCutOff) {
		return [{reason: 'this host hears neither the platform nor a host of another zone, and reaches no server of some pool', remedy: 'see to the links of its zone'}];
	}

	return areClaimsSettled
		? []
		: [{reason: 'the claims of this host\'s last process are being fetched from its peers', remedy: 'wait: it takes requests after five seconds at the latest'}];
}

/**
 * Writes the status document.
 *
 * @param input - The parts of the entry.
 * @param now - Monotonic milliseconds.
 * @returns A document for JSON.
 */
export function toEntryStatus(input: EntryStatusInput, now: Milliseconds): unknown {
	const {
		link, services, registry, isStopping, openConnections,
	} = input;
	const view = link.toView();
	const viewAgeMs = toAge(view?.receivedAt, now);
	return {
		program: 'banyanport-entry',
		owner: link.toOwner(),
		isStopping,
		configuration: view?.accepted?.version,
		view: {
			ageMs: viewAgeMs,
			isStale: viewAgeMs === undefined || viewAgeMs > staleViewMs,
			isAgentConnected: link.isConnected(),
			platformAgeMs: toAge(view?.platformConfirmedAt, now),
			hosts: [...view?.hosts.values() ?? []].map(({id, life, leaving}) => ({id, life, leaving})),
			servers: [...view?.servers.values() ?? []].map(({id, leaving, reachable}) => ({id, leaving, reachable})),
		},
		requests: {inProgress: registry.size(), waiting: services.gate.waiting(), openConnections},
		pools: services.gate.status(),
		cancelsPending: services.cancels.pending(),
		claims: link.claims?.stats(),
	};
}
