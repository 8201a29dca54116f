/** Readiness and status document of an entry, for operators. */
import {toAge} from '../../../_lib/to-age/index.js';
import {type ReadinessReason} from '../../../adapters/operator-http/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type FleetView} from '../../../ports/view.js';
import {type FleetLink} from './join-fleet.js';
import {type RunRegistry} from './run-registry.js';
import {type RunServices} from './types.js';

/** Age from which the status calls a view stale; requests are still served by a stale view. */
const staleViewMs = 10_000;

export type EntryStatusInput = {
	link: FleetLink;
	services: RunServices;
	registry: RunRegistry;
	isStopping: boolean;
	openConnections: number;
};

/**
 * Finds the reasons why the entry is not ready for requests.
 *
 * @param view - The entry's view of the fleet.
 * @param states - Whether a planned stop has begun, whether this host is partitioned from servers that its callers need, and whether fetching the claims of the previous process has ended.
 * @returns Reasons with remedies; empty if the entry is ready.
 */
export function findNotReady(view: FleetView | undefined, {isStopping, isCutOff, areClaimsSettled}: {isStopping: boolean; isCutOff: boolean; areClaimsSettled: boolean}): ReadinessReason[] {
	if (isStopping) {
		return [{reason: 'this host is stopping'}];
	}

	if (view?.accepted === undefined) {
		return [{reason: 'no configuration is in force', remedy: 'check whether this host\'s agent runs and reaches the platform or a peer'}];
	}

	// A host that is cut off refuses all requests. Not ready, it leaves its callers to hosts of other zones, which still reach servers.
	if (isCutOff) {
		return [{reason: 'this host hears neither the platform nor a host of another zone, and reaches no server of some pool', remedy: 'check the network links of its zone'}];
	}

	return areClaimsSettled
		? []
		: [{reason: 'the claims of this host\'s previous process are being fetched from its peers', remedy: 'wait; the host is ready after five seconds at the latest'}];
}

/**
 * Creates the status document.
 *
 * @param input - The parts of the entry that the document describes.
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
