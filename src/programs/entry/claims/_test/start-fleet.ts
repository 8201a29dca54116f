/** Starts the entries of a fleet in one process, for the tests of claims. */
import {type TestContext} from 'node:test';
import {v7} from 'uuid';
import {listenPeers, type PeerHello} from '../../../../adapters/peer-tcp/index.js';
import {createLog} from '../../../../adapters/log/index.js';
import {type FleetView, type HostStatus} from '../../../../ports/view.js';
import {type Claims, type KeyedRequest, createClaims} from '../index.js';

const hour = 3_600_000;
const log = createLog({
	level: 'error', program: 'test', host: 'test', zone: 'test', incarnation: 1,
});

export type Host = {
	claims: Claims;
	port: number;
	/** Ends the process without handing its table over. */
	kill: () => Promise<void>;
	/** Starts a new process in the slot, at the same address; its memory began `ageMs` ago. */
	replace: (ageMs: number) => Promise<void>;
};

/** Starts entries over real sockets, each with a witness whose memory began an hour ago. */
export async function startFleet(context: TestContext, count = 8): Promise<Host[]> {
	const slots = Array.from({length: count}, (_, i) => ({id: `host-${i}`, zone: `zone-${i % 4}`}));
	const statuses = new Map<string, HostStatus>();
	const view = {accepted: {config: {hosts: slots}}, hosts: statuses} as unknown as FleetView;
	let incarnation = 0;

	async function start(slot: {id: string; zone: string}, ageMs: number, port: number) {
		const own = ++incarnation;
		const hello = (): PeerHello => ({
			host: slot.id, zone: slot.zone, role: 'entry', incarnation: own,
		});
		let address = '';
		let offset = -ageMs;
		const claims = createClaims({
			hello, toAddress: () => address, toView: () => view, clock: {now: () => performance.now(), wallNow: () => Date.now() + offset}, random: Math.random, log,
		});
		offset = 0;
		const peers = await listenPeers({
			bind: '127.0.0.1', port, hello, onCall: claims.onCall, onEvent: claims.onEvent,
		});
		address = `127.0.0.1:${peers.port}`;
		statuses.set(slot.id, {
			id: slot.id, zone: slot.zone, life: 'alive', incarnation: own, entryAddress: address, agentAddress: '', leaving: false,
		});
		const ticker = setInterval(claims.tick, 100);
		const kill = async () => {
			clearInterval(ticker);
			claims.close();
			await peers.close();
		};

		return {claims, kill, port: peers.port};
	}

	const hosts = await Promise.all(slots.map(async slot => {
		const host: Host = {
			...await start(slot, hour, 0),
			async replace(ageMs) {
				Object.assign(host, await start(slot, ageMs, host.port));
			},
		};
		return host;
	}));
	context.after(async () => {
		await Promise.all(hosts.map(async host => host.kill()));
	});
	return hosts;
}

/** Creates a request with a new key. */
export function toRequest(extra: Partial<KeyedRequest> = {}): KeyedRequest {
	return {
		workspace: 'glossworks', key: v7(), digest: 'digest', isRepeatable: false, ...extra,
	};
}
