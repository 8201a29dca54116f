/** One zone of three hosts whose servers leave, and how to see who knows of it. */
import {
	startFleet, type Fleet, type FleetHost, type FleetOptions,
} from '../../_lib/start-fleet/index.js';
import {type EngineStandIn} from '../../stand-ins/engine/index.js';
import {waitUntil} from '../../_lib/wait-until/index.js';

export const deadlineMs = 20_000;
export const zone = 'dvorana-a';

/** Two engines of each role, whose decode engines take five seconds for a long letter. */
export async function startLeavingServerFleet(options: Partial<FleetOptions>): Promise<Fleet> {
	return startFleet({
		zones: [zone],
		hostsPerZone: 3,
		prefillsPerZone: 2,
		decodesPerZone: 2,
		entryFlags: {clockBound: '0ms'},
		decodeEngine: {decodeTokensPerSecond: 50, slots: 60},
		...options,
	});
}

type Status = {view: {servers: Array<{id: string; leaving: boolean}>}};

async function isKnownAsLeaving(host: FleetHost, server: string): Promise<boolean> {
	const answer = await fetch(`${host.entryOperatorUrl}/status`, {signal: AbortSignal.timeout(deadlineMs)});
	const {view} = await answer.json() as Status;
	return view.servers.some(({id, leaving}) => id === server && leaving);
}

async function isNoServerKnownAsLeaving(fleet: Fleet): Promise<boolean> {
	const asked = [...fleet.engines.keys()].flatMap(id => fleet.hosts.map(host => ({host, id})));
	const told = await Promise.all(asked.map(async ({host, id}) => isKnownAsLeaving(host, id)));
	return !told.includes(true);
}

/** Waits until no host takes any server for a leaving one. */
export async function waitUntilNoneIsLeaving(fleet: Fleet): Promise<void> {
	await waitUntil(async () => isNoServerKnownAsLeaving(fleet), {deadlineMs, what: 'the return of all servers'});
}

/** What the engine's own load report says, late as it is. */
export async function readReportedState({url}: EngineStandIn): Promise<string> {
	const answer = await fetch(`${url}/engine/load`, {signal: AbortSignal.timeout(deadlineMs)});
	const {state} = await answer.json() as {state: string};
	return state;
}

/** Reservations and prefills that the engine was asked for, taken or not. */
export function countOffers(engine: EngineStandIn): number {
	const {calls} = engine.judge();
	return (calls['POST engine/reservations'] ?? 0) + (calls['POST engine/prefills'] ?? 0);
}

/** The same of callers' requests alone: a host that holds a server for leaving asks it now and then by a request of its own. */
export function countCallerOffers(engine: EngineStandIn): number {
	const {offers} = engine.judge();
	return Object.entries(offers).filter(([id]) => !id.startsWith('probe-')).reduce((sum, [, count]) => sum + count, 0);
}

/** Waits until all hosts know, and tells when the first did. */
export async function waitUntilKnownAsLeaving(fleet: Fleet, server: string): Promise<{firstMs: number; allMs: number}> {
	let firstMs: number | undefined;
	return waitUntil(async () => {
		const told = await Promise.all(fleet.hosts.map(async host => isKnownAsLeaving(host, server)));
		if (told.includes(true)) {
			firstMs ??= performance.now();
		}

		return firstMs !== undefined && !told.includes(false) && {firstMs, allMs: performance.now()};
	}, {deadlineMs, what: `all hosts to know that ${server} leaves`, everyMs: 10});
}
