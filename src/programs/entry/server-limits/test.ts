import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createCollectedLines} from '../../../../test/_lib/create-collected-lines/index.js';
import {createLog} from '../../../adapters/log/index.js';
import {createRequestLimits} from '../../../domain/create-request-limits/index.js';
import {createLocalQuotas} from '../_lib/create-local-quotas.js';
import {createServerLimits} from './index.js';

const server = {id: 'a'};

function createLimits() {
	let now = 1000;
	let heldBack = 0;
	const limited: Array<[string, number]> = [];
	const collected = createCollectedLines();
	const clock = {now: () => now, wallNow: () => now};
	const limits = createServerLimits({
		limits: createRequestLimits(),
		quotas: createLocalQuotas({clock, countHosts: () => 1}),
		clock,
		log: createLog({
			level: 'info', program: 'test', host: 'h', zone: 'a', incarnation: 1, sink: collected.sink,
		}),
		noteLimited(id, ms) {
			limited.push([id, ms]);
		},
		countHeldBack() {
			heldBack++;
		},
	});
	return {
		limits, limited, lines: collected.lines, countHeldBack: () => heldBack, pass(ms: number) {
			now += ms;
		},
	};
}

describe('createServerLimits', () => {
	it('grants everything at a server that states no limit', async () => {
		const {limits, limited} = createLimits();
		limits.noteAnswer(server, 'none', 900);
		assert.equal(await limits.take(server, 1000), true);
		assert.equal(limits.isLimited(server), false);
		assert.deepEqual(limited, []);
	});

	it('grants the limit and no more, and has the server passed over in between', async () => {
		const {limits, limited, countHeldBack, pass} = createLimits();
		limits.noteAnswer(server, 2, 900);
		let granted = 0;
		for (let n = 0; n < 200; n++) {
			granted += await limits.take(server, 1) ? 1 : 0;
			pass(50);
		}

		assert.ok(granted >= 20, `${granted} in 10 s`);
		assert.ok(granted <= 25, `${granted} in 10 s`);
		assert.equal(countHeldBack(), 200 - granted);
		assert.ok(limited.every(([id, ms]) => id === 'a' && ms > 0 && ms <= 500));
	});

	it('gives back what was not sent', async () => {
		const {limits} = createLimits();
		limits.noteAnswer(server, 0.2, 900);
		assert.equal(await limits.take(server, 3), true);
		assert.equal(await limits.take(server, 1), false);
		limits.giveBack(server, 3);
		assert.equal(await limits.take(server, 1), true);
	});

	it('logs when a limit begins, changes and ends, and not when it is repeated', () => {
		const {limits, lines} = createLimits();
		for (const [at, stated] of [[900, 4.8], [910, 4.8], [920, 1.9], [930, 'none'], [940, 'none']] as const) {
			limits.noteAnswer(server, stated, at);
		}

		assert.deepEqual(lines().map(({message, limit}) => [message, limit]), [
			['server limits its requests', 4.8],
			['server limits its requests', 1.9],
			['server limits its requests no more', undefined],
		]);
	});
});
