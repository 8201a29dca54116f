/** Small fleets for the tests and benches of placement. */
import {type Random} from '../../../ports/clock.js';
import {type Config, type ServerEntry, type ServerRole} from '../../../ports/config.js';
import {type LoadReport} from '../../../ports/engine.js';
import {type FleetView, type HostStatus, type ServerStatus} from '../../../ports/view.js';
import {type PlacementRequest} from './types.js';

/** Park and Miller's generator with the multiplier 48271: its products stay exact in a double. */
export const toSeededRandom = (seed: number): Random => {
	const modulus = 2_147_483_647;
	let state = 1 + (Math.trunc(Math.abs(seed)) % (modulus - 1));
	return () => {
		state = (state * 48_271) % modulus;
		return (state - 1) / (modulus - 1);
	};
};

export const toServer = (id: string, role: ServerRole, change: Partial<ServerEntry> = {}): ServerEntry => ({
	id, zone: 'a', url: `http://127.0.0.1/${id}`, role, pool: 'main', slots: 20, checksFence: true, ...change,
});

export const toConfig = (servers: readonly ServerEntry[], change: Partial<Config> = {}): Config => ({
	zones: [...new Set(servers.map(server => server.zone))].map(id => ({id, region: 'r'})),
	hosts: [],
	servers,
	pools: [{
		name: 'main', kind: 'model', model: 'm', version: 'v1', adapters: [], classes: ['quick', 'batch'],
	}, {
		name: 'web', kind: 'plain', model: undefined, version: undefined, adapters: [], classes: ['quick'],
	}],
	rules: [],
	callerTokens: {},
	weightStoreBytesPerSecond: 1_000_000_000,
	...change,
});

export const toReport = (entry: ServerEntry, change: Partial<LoadReport> = {}): LoadReport => ({
	server: entry.id,
	role: entry.role === 'decode' ? 'decode' : 'prefill',
	model: 'm',
	version: 'v1',
	adapters: [],
	state: 'serving',
	ageMs: 0,
	slotsTotal: entry.slots,
	slotsUsed: 0,
	queued: 0,
	queuedTokens: 0,
	tokensPerSecond: entry.role === 'decode' ? 50 : 8000,
	linkBytesPerSecond: 1_000_000_000,
	fence: 1,
	...change,
});

export const toStatus = (entry: ServerEntry, loadAt: number, change: Partial<LoadReport> = {}): ServerStatus => ({
	id: entry.id, leaving: false, load: entry.role === 'plain' ? undefined : toReport(entry, change), loadAt, reachable: true,
});

export const toView = (config: Config, statuses: readonly ServerStatus[], hosts: readonly HostStatus[] = []): FleetView => ({
	accepted: {version: {edition: 1, revision: 1, digest: 'd'}, config, text: ''},
	hosts: new Map(hosts.map(host => [host.id, host])),
	servers: new Map(statuses.map(status => [status.id, status])),
	platformConfirmedAt: 0,
	receivedAt: 0,
});

export const toPlacementRequest = (change: Partial<PlacementRequest> = {}): PlacementRequest => ({
	pool: 'main', model: 'm', version: undefined, adapter: undefined, promptTokens: 800, maxTokens: 200, class: 'quick', firstTokenBudgetMs: 2000, ...change,
});
