/*
 * Callers send a few keys of unrepeatable work to eight entries, over and over.
 * Meanwhile hosts are killed and restarted with a clock that is off, replaced
 * while the old process still runs, partitioned from each other, and delayed
 * between the grant and the dispatch. In any order of faults each key must be
 * dispatched at most once, and no host may report "not run" for a dispatched key.
 */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {v7} from 'uuid';
import {createLog} from '../../../adapters/log/index.js';
import {listenPeers, type PeerHello} from '../../../adapters/peer-tcp/index.js';
import {type FleetView, type HostStatus} from '../../../ports/view.js';
import {type Claims, createClaims} from './index.js';

const seed = 20_261_202;
const steps = 250;
/** Scaled down from an error of two minutes within a bound of four, so that the wait after a restart is short enough to overlap with the next fault. */
const clockErrorMs = 25;
const clockBoundMs = 60;
const hour = 3_600_000;
const zoneCount = 4;
const slots = Array.from({length: 8}, (_, i) => ({id: `host-${i}`, zone: `zone-${i % zoneCount}`}));

type Process = {
	slot: string;
	side: number;
	address: string;
	claims: Claims;
	kill: () => Promise<void>;
};

function createRandom(): (below: number) => number {
	let state = seed;
	return below => {
		state = (state * 48_271) % 2_147_483_647;
		return state % below;
	};
}

const log = createLog({
	level: 'error', program: 'test', host: 'test', zone: 'test', incarnation: 1,
});

/** Creates processes that see only those on their own side of the partition, and of each slot only the last one started there. */
function createFleet() {
	const processes: Process[] = [];
	let incarnation = 0;

	function toView(self: () => Process): FleetView {
		const hosts = new Map<string, HostStatus>();
		for (const {slot, side, address} of processes) {
			if (side === self().side) {
				hosts.set(slot, {
					id: slot, zone: '', life: 'alive', incarnation: 1, entryAddress: address, agentAddress: '', leaving: false,
				});
			}
		}

		return {accepted: {config: {hosts: slots}}, hosts} as unknown as FleetView;
	}

	async function start(slot: string, {side, ageMs, clockMs}: {side: number; ageMs: number; clockMs: number}): Promise<void> {
		const ownIncarnation = ++incarnation;
		const hello = (): PeerHello => ({
			host: slot, zone: '', role: 'entry', incarnation: ownIncarnation,
		});
		let startOffset = -ageMs;
		const process: Process = {
			slot, side, address: '', claims: undefined as unknown as Claims, kill: async () => undefined,
		};
		process.claims = createClaims({
			hello,
			toAddress: () => process.address,
			toView: () => toView(() => process),
			clock: {now: () => performance.now(), wallNow: () => Date.now() + clockMs + startOffset},
			random: Math.random,
			log,
			askTimeoutMs: 300,
			clockBoundMs,
		});
		startOffset = 0;
		const peers = await listenPeers({
			bind: '127.0.0.1',
			port: 0,
			hello,
			// The sockets of this process stay open across a partition, so calls from the other side are rejected here.
			async onCall(peer, method, body, connection) {
				const from = processes.find(({slot: other, side: otherSide}) => other === peer.host && otherSide === process.side);
				if (from === undefined) {
					throw new Error('cut off');
				}

				return process.claims.onCall(peer, method, body, connection);
			},
			onEvent: process.claims.onEvent,
		});
		process.address = `127.0.0.1:${peers.port}`;
		process.kill = async () => {
			processes.splice(processes.indexOf(process), 1);
			process.claims.close();
			await peers.close();
		};

		processes.push(process);
	}

	return {processes, start};
}

describe('claims of a fleet under faults', {timeout: 120_000}, () => {
	it('dispatches each key once at most and says "not run" only of keys that were not', async context => {
		const pick = createRandom();
		const {processes, start} = createFleet();
		const dispatches = new Map<string, number>();
		const counts = {
			dispatched: 0, joined: 0, refused: 0, givenBack: 0,
		};
		let twins = 0;
		let keys: string[] = [];
		const calls: Array<Promise<void>> = [];

		async function call({claims}: Process, key: string) {
			const claimed = await claims.claim({
				workspace: 'glossworks', key, digest: 'd', isRepeatable: false,
			});
			if (claimed.kind !== 'run') {
				counts[claimed.kind === 'join' ? 'joined' : 'refused']++;
				assert.ok(claimed.kind === 'join' || claimed.problem.outcome !== 'not-run');
				if (claimed.kind === 'join') {
					claimed.reader.close(performance.now());
				}

				return;
			}

			await sleep(pick(30));
			if (pick(3) === 0) {
				assert.equal(dispatches.get(key) ?? 0, 0, 'said "not run" of work that was dispatched');
				counts.givenBack++;
				claimed.writer.end('retryable', performance.now());
				return;
			}

			dispatches.set(key, (dispatches.get(key) ?? 0) + 1);
			counts.dispatched++;
			assert.equal(dispatches.get(key), 1, 'dispatched twice');
			claimed.writer.end('complete', performance.now());
		}

		const failures: unknown[] = [];

		async function callAndCollectFailure(process: Process, key: string) {
			try {
				await call(process, key);
			} catch (error) {
				failures.push(error);
			}
		}

		async function injectFault() {
			const found = processes[pick(processes.length)]!;
			const twin = processes.find(other => other !== found && other.slot === found.slot);
			switch (pick(6)) {
				case 0: {
					await found.kill();
					if (twin === undefined) {
						await start(found.slot, {side: found.side, ageMs: 0, clockMs: (pick(3) - 1) * clockErrorMs});
					} else {
						twins--;
					}

					break;
				}

				case 1: {
					if (twins === 0 && twin === undefined) {
						twins++;
						await start(found.slot, {side: pick(2), ageMs: 0, clockMs: 0});
					}

					break;
				}

				case 2: {
					const cut = pick(zoneCount);
					for (const process of processes) {
						process.side = Number(process.slot.slice(-1)) % zoneCount === cut ? 1 : 0;
					}

					break;
				}

				case 3: {
					for (const process of processes) {
						process.side = pick(2);
					}

					break;
				}

				default: {
					for (const process of processes) {
						process.side = 0;
					}
				}
			}
		}

		for (const {id} of slots) {
			await start(id, {side: 0, ageMs: hour, clockMs: 0});
		}

		for (let step = 0; step < steps; step++) {
			if (step % 10 === 0) {
				const clockMs = (pick(3) - 1) * clockErrorMs;
				keys = Array.from({length: 3}, () => v7({msecs: Date.now() + clockMs}));
			}

			for (let i = 0; i < 4; i++) {
				calls.push(callAndCollectFailure(processes[pick(processes.length)]!, keys[pick(keys.length)]!));
			}

			if (step % 5 === 0) {
				await injectFault();
			}

			await sleep(pick(10));
		}

		await Promise.all(calls);
		await Promise.all([...processes].map(async process => process.kill()));
		context.diagnostic(JSON.stringify(counts));
		assert.deepEqual(failures, []);
		assert.ok(counts.dispatched > 20 && counts.joined > 20 && counts.refused > 0, JSON.stringify(counts));
	});
});
