/*
 * A host is restarted in a release, and callers send their keys again as soon as
 * it is ready. They get `claim-unavailable` for minutes if its table was lost:
 * the ending process fetched the table back, a peer without room was assumed to
 * store it, or the host was ready before it had asked its peers.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setImmediate as turn} from 'node:timers/promises';
import {errAsync, okAsync} from 'neverthrow';
import {type Log} from '../../../../adapters/log/index.js';
import {type PeerConnection} from '../../../../adapters/peer-tcp/index.js';
import {createClaimWitness} from '../../../../domain/create-claim-witness/index.js';
import {type FleetView, type HostStatus} from '../../../../ports/view.js';
import {createTableTransfer} from './create-table-transfer.js';
import {methods} from './messages.js';

type Reply = (method: string) => unknown;

const slot = 'a-1';
const peers = ['b-1', 'c-1', 'd-1'];
const quiet = () => undefined;
const log = {info: quiet, warn: quiet} as unknown as Log;

/** Creates a host with three peers; a peer for which `toReply` returns `undefined` is unreachable. */
function createHost(toReply: (peer: string) => Reply | undefined, lives: Readonly<Record<string, HostStatus['life']>> = {}) {
	let now = 0;
	const calls: string[] = [];
	const hosts = [slot, ...peers].map(id => ({id, zone: id[0]!}));
	const view = {
		accepted: {config: {hosts}},
		hosts: new Map(hosts.map(({id, zone}) => [id, {id, zone, life: lives[id] ?? 'alive'}])),
	} as unknown as FleetView;
	const closing = new AbortController();
	const witness = createClaimWitness({
		slot, incarnation: 1, startedAt: 0, clockBoundMs: 0,
	});
	const transfer = createTableTransfer({
		slot,
		witness,
		connectTo(host) {
			const reply = toReply(host);
			return reply === undefined
				? errAsync({message: 'unreachable'})
				: okAsync({
					call(method: string) {
						calls.push(`${method} ${host}`);
						return okAsync(reply(method));
					},
				} as unknown as PeerConnection);
		},
		toView: () => view,
		clock: {now: () => now, wallNow: () => 0},
		log,
		closing: closing.signal,
	});
	return {
		transfer,
		calls,
		/** Starts the search and lets its first round end. */
		async seek() {
			void transfer.takeOver();
			await turn();
			await turn();
		},
		pass(ms: number) {
			now += ms;
		},
		end() {
			closing.abort();
		},
	};
}

const holdsNothing: Reply = () => ({kind: 'nothing'});
const table = {
	kind: 'part', slot, incarnation: 7, vouchesFrom: 0, floor: 0, part: 0, parts: 1, claims: [],
};

describe('createTableTransfer', () => {
	const rows: ReadonlyArray<[name: string, toReply: (peer: string) => Reply | undefined, lives: Record<string, HostStatus['life']>, isSettled: boolean]> = [
		['every peer was asked and has nothing', () => holdsNothing, {}, true],
		['the table is here', () => () => table, {}, true],
		['a living peer could not be asked', peer => peer === 'c-1' ? undefined : holdsNothing, {}, false],
		['only a dead peer could not be asked', peer => peer === 'c-1' ? undefined : holdsNothing, {'c-1': 'dead'}, true],
	];
	for (const [name, toReply, lives, isSettled] of rows) {
		it(`${isSettled ? 'is' : 'is not'} settled when ${name}`, async () => {
			const host = createHost(toReply, lives);
			assert.equal(host.transfer.isSettled(), false, 'settled before it asked');
			await host.seek();
			assert.equal(host.transfer.isSettled(), isSettled);
			host.pass(5001);
			assert.equal(host.transfer.isSettled(), true, 'a peer out of reach keeps the host out of service');
			host.end();
		});
	}

	it('hands its table over only when its own search has ended, and asks for nothing afterwards', async () => {
		const host = createHost(() => method => method === methods.handOver ? {isTaken: true} : {kind: 'nothing'});
		await host.seek();
		assert.equal(await host.transfer.leave(), true);
		const asked = host.calls.length;
		await new Promise(resolve => {
			setTimeout(resolve, 150);
		});
		assert.equal(host.calls.length, asked, `asked for its own table: ${host.calls.slice(asked).join(', ')}`);
		host.end();
	});

	it('hands its table to the next peer when one has no room', async () => {
		const order: string[] = [];
		const host = createHost(peer => () => {
			order.push(peer);
			return {isTaken: order.length > 1};
		});
		assert.equal(await host.transfer.leave(), true);
		assert.equal(new Set(order).size, 2);
	});
});
