import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {type Log} from '../../../adapters/log/index.js';
import {toHash32} from '../../../_lib/to-hash32/index.js';
import {type FleetView} from '../../../ports/view.js';
import {watchLinks} from './index.js';

const pool = 'desk';
const view = {accepted: {config: {servers: ['s1', 's2', 's3', 's4'].map(id => ({id, pool, url: `http://${id}`}))}}} as unknown as FleetView;

/** A host whose clock and links are set by hand. */
function startWatch() {
	let now = 0;
	let isConnected = false;
	const probed: string[] = [];
	const logged: string[] = [];
	const watch = watchLinks({
		clock: {now: () => now, wallNow: () => now},
		random: () => 0.5,
		log: {
			warn(message: string) {
				logged.push(message);
			},
		} as unknown as Log,
		toView: () => view,
		async probe(url) {
			probed.push(url);
			return isConnected;
		},
	});
	return {
		watch,
		probed,
		logged,
		setConnected(next: boolean) {
			isConnected = next;
		},
		/** Moves the clock, hears another host that has just had an answer, and ticks. */
		async tickAt(at: number) {
			now = at;
			watch.noteAnswers('10.0.0.2:1', [{pool: toHash32(pool), ageMs: 0}]);
			watch.tick();
			await nextTurn();
			watch.tick();
		},
	};
}

describe('watchLinks', () => {
	it('probes three servers once a call is overdue, and loses the pool if none accepts a connection', async () => {
		const {watch, probed, logged, tickAt} = startWatch();
		watch.openCall(pool);
		await tickAt(100);
		assert.deepEqual(probed, []);
		await tickAt(600);
		assert.equal(probed.length, 3);
		assert.equal(watch.isLost(pool), true);
		assert.deepEqual(watch.lostPools(), [pool]);
		assert.deepEqual(logged, ['no server of the pool can be reached']);
		assert.equal(watch.pickPeer(pool, new Set()), '10.0.0.2:1');
		assert.equal(watch.pickPeer('another', new Set()), undefined);
	});

	it('finds the pool again by a probe', async () => {
		const {watch, logged, tickAt, setConnected} = startWatch();
		watch.openCall(pool);
		await tickAt(600);
		setConnected(true);
		await tickAt(1100);
		assert.equal(watch.isLost(pool), false);
		assert.equal(logged.at(-1), 'servers of the pool can be reached again');
	});

	it('finds the pool again by an answer, and says so', async () => {
		const {watch, logged, tickAt} = startWatch();
		const late = watch.openCall(pool);
		await tickAt(600);
		late.answer(700);
		await tickAt(750);
		assert.equal(watch.isLost(pool), false);
		assert.equal(logged.at(-1), 'servers of the pool can be reached again');
	});

	it('tells other hosts of the pools that answered within two seconds', () => {
		const {watch} = startWatch();
		watch.openCall(pool).answer(500);
		watch.openCall('silent');
		assert.deepEqual(watch.toAnswers(600), [{pool: toHash32(pool), ageMs: 100}]);
		assert.deepEqual(watch.toAnswers(2501), []);
	});
});
