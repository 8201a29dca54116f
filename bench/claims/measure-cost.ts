/** Measures the cost of a claim: picking witnesses, the table of a witness, message sizes, and latency over loopback sockets. */
import process from 'node:process';
import {decode, encode} from 'cbor-x';
import {build} from 'hdr-histogram-js';
import {v7} from 'uuid';
import {listenPeers, type PeerHello, type PeerListener} from '../../src/adapters/peer-tcp/index.js';
import {createLog} from '../../src/adapters/log/index.js';
import {type ClaimRequest, createClaimWitness} from '../../src/domain/create-claim-witness/index.js';
import {pickWitnesses} from '../../src/domain/pick-witnesses/index.js';
import {type FleetView, type HostStatus} from '../../src/ports/view.js';
import {msPerHour} from '../../src/ports/units.js';
import {detachText} from '../../src/programs/entry/claims/_lib/detach-text.js';
import {type Claims, createClaims} from '../../src/programs/entry/claims/index.js';

const nsPerUs = 1000;

function toSlots(count: number) {
	return Array.from({length: count}, (_, i) => ({id: `host-${i}`, zone: `zone-${i % (count > 100 ? 12 : 4)}`}));
}

function toRequest(key: string): ClaimRequest {
	return {
		workspace: 'workspace-12345',
		key,
		claimId: `${key}-1`,
		digest: 'f'.repeat(64),
		isRepeatable: false,
		claimant: {host: 'hall-sandybay-12', incarnation: 1_800_000_000_000, address: '10.20.30.40:7402'},
	};
}

function timeUs(times: number, run: (i: number) => void): number {
	const startedAt = process.hrtime.bigint();
	for (let i = 0; i < times; i++) {
		run(i);
	}

	return Number(process.hrtime.bigint() - startedAt) / times / nsPerUs;
}

/** Measures the time to pick the witnesses of a key, in microseconds, by number of hosts. */
export function measurePicks(): Array<{hosts: number; us: number}> {
	return [8, 40, 400].map(count => {
		const hosts = toSlots(count);
		timeUs(2000, i => pickWitnesses(`warm-${i}`, hosts));
		return {hosts: count, us: timeUs(2000, i => pickWitnesses(`key-${i}`, hosts))};
	});
}

/** Copies the texts of a decoded request, as the entry does, so that they don't keep the received buffer alive. */
function toOwnTexts(request: ClaimRequest): ClaimRequest {
	return {
		...request, workspace: detachText(request.workspace), key: detachText(request.key), claimId: detachText(request.claimId), digest: detachText(request.digest),
	};
}

/** Measures time (microseconds) and heap bytes per claim at a witness, by number of claims held. */
export function measureTable(): Array<{claims: number; us: number; bytes: number}> {
	return [10_000, 50_000, 200_000].map(count => {
		const now = Date.now();
		const witness = createClaimWitness({slot: 'host', incarnation: 1, startedAt: now - msPerHour});
		const requests = Array.from({length: count}, () => encode(toRequest(v7())));
		globalThis.gc?.();
		const before = process.memoryUsage().heapUsed;
		const parsed = timeUs(count, i => {
			witness.claim(toOwnTexts(decode(requests[i]!) as ClaimRequest), now);
		});
		globalThis.gc?.();
		const bytes = (process.memoryUsage().heapUsed - before) / witness.stats().claims;
		return {claims: count, us: parsed, bytes};
	});
}

/** Measures the bytes of a claim request and its reply, without framing. */
export function measureMessage(): {ask: number; answer: number} {
	return {
		ask: encode({
			type: 'call', id: 123_456, method: 'claim', body: toRequest(v7()),
		}).length,
		answer: encode({
			type: 'reply', id: 123_456, ok: true, body: {kind: 'granted', incarnation: 1_800_000_000_000},
		}).length,
	};
}

type Running = {claims: Claims; peers: PeerListener};

const log = createLog({
	level: 'error', program: 'bench', host: 'bench', zone: 'bench', incarnation: 1,
});

async function startHosts(count: number): Promise<Running[]> {
	const slots = toSlots(count);
	const statuses = new Map<string, HostStatus>();
	const view = {accepted: {config: {hosts: slots}}, hosts: statuses} as unknown as FleetView;
	return Promise.all(slots.map(async ({id, zone}) => {
		const hello = (): PeerHello => ({
			host: id, zone, role: 'entry', incarnation: 1,
		});
		let offset = -msPerHour;
		let address = '';
		const claims = createClaims({
			hello,
			toAddress: () => address,
			toView: () => view,
			clock: {now: () => performance.now(), wallNow: () => Date.now() + offset},
			random: Math.random,
			log,
		});
		offset = 0;
		const peers = await listenPeers({
			bind: '127.0.0.1', port: 0, hello, onCall: claims.onCall, onEvent: claims.onEvent,
		});
		address = `127.0.0.1:${peers.port}`;
		statuses.set(id, {
			id, zone, life: 'alive', incarnation: 1, entryAddress: address, agentAddress: '', leaving: false,
		});
		return {claims, peers};
	}));
}

/** Measures the latency of concurrent claims over loopback, in milliseconds, with eight hosts in this process. */
export async function measureLatency(claimsAtOnce: number, total: number): Promise<{p50: number; p99: number; perSecond: number}> {
	const hosts = await startHosts(8);
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000});
	const claimOne = async (i: number) => {
		const startedAt = performance.now();
		const claimed = await hosts[i % hosts.length]!.claims.claim({
			workspace: 'w', key: v7(), digest: 'd', isRepeatable: false,
		});
		histogram.recordValue(Math.round((performance.now() - startedAt) * nsPerUs));
		if (claimed.kind !== 'run') {
			throw new Error(`witnesses did not grant claim with fresh key: ${JSON.stringify(claimed)}`);
		}
	};

	const work = async (first: number) => {
		for (let i = first; i < total; i += claimsAtOnce) {
			await claimOne(i);
		}
	};

	await Promise.all(hosts.map(async (_, i) => claimOne(i)));
	histogram.reset();
	const startedAt = performance.now();
	await Promise.all(Array.from({length: claimsAtOnce}, async (_, i) => work(i)));
	const perSecond = total / ((performance.now() - startedAt) / 1000);
	for (const {claims, peers} of hosts) {
		claims.close();
		await peers.close();
	}

	return {p50: histogram.getValueAtPercentile(50) / nsPerUs, p99: histogram.getValueAtPercentile(99) / nsPerUs, perSecond};
}
