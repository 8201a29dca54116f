/** A fleet of one zone and three hosts, and helpers that show which hosts know that a server is leaving. */
import {
	startFleet, type Fleet, type FleetHost, type FleetOptions,
} from '../../_lib/start-fleet/index.js';
import {type EngineStandIn} from '../../stand-ins/engine/index.js';
import {waitUntil} from '../../_lib/wait-until/index.js';

export const deadlineMs = 20_000;
export const zone = 'dvorana-a';

/** Starts the fleet with two engines of each role; a decode engine takes five seconds for a long letter. */
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

/** Waits until no host considers any server to be leaving. */
export async function waitUntilNoneIsLeaving(fleet: Fleet): Promise<void> {
	await waitUntil(async () => isNoServerKnownAsLeaving(fleet), {deadlineMs, what: 'all hosts to consider no server leaving'});
}

/** Reads the state in the engine's load report, which lags behind the engine's actual state. */
export async function readReportedState({url}: EngineStandIn): Promise<string> {
	const answer = await fetch(`${url}/engine/load`, {signal: AbortSignal.timeout(deadlineMs)});
	const {state} = await answer.json() as {state: string};
	return state;
}

/** Counts the reservations and prefills requested from the engine, whether it accepted them or not. */
export function countOffers(engine: EngineStandIn): number {
	const {calls} = engine.judge();
	return (calls['POST engine/reservations'] ?? 0) + (calls['POST engine/prefills'] ?? 0);
}

/** Counts the same for callers' requests only, without the probes that a host sends now and then to a server it considers leaving. */
export function countCallerOffers(engine: EngineStandIn): number {
	const {offers} = engine.judge();
	return Object.entries(offers).filter(([id]) => !id.startsWith('probe-')).reduce((sum, [, count]) => sum + count, 0);
}

/** Waits until all hosts know that the server is leaving; returns when the first host knew and when all did, in milliseconds of `performance.now()`. */
export async function waitUntilKnownAsLeaving(fleet: Fleet, server: string): Promise<{firstMs: number; allMs: number}> {
	let firstMs: number | undefined;
	return waitUntil(async () => {
		const told = await Promise.all(fleet.hosts.map(async host => isKnownAsLeaving(host, server)));
		if (told.includes(true)) {
			firstMs ??= performance.now();
		}

		return firstMs !== undefined && !told.includes(false) && {firstMs, allMs: performance.now()};
	}, {deadlineMs, what: `all hosts to know that ${server} is leaving`, everyMs: 10});
}
