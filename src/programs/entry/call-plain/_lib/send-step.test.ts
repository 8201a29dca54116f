import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createCrashSuspects} from '../../../../domain/create-crash-suspects/index.js';
import {type EngineRefusalReason} from '../../../../ports/engine.js';
import {noteAnswered} from './send-step.js';
import {type PlainRun} from './types.js';

/* A crashed server must not count as alive because another server answers at its address. */
describe('noteAnswered', () => {
	const cases: ReadonlyArray<{refusal: EngineRefusalReason | undefined; isAlive: boolean}> = [
		{refusal: undefined, isAlive: true},
		{refusal: 'full', isAlive: true},
		{refusal: 'wrong-model', isAlive: false},
	];
	for (const {refusal, isAlive} of cases) {
		it(`counts a refusal as ${String(refusal)} as ${isAlive ? 'an answer of the server' : 'an answer of another server'}`, () => {
			const suspects = createCrashSuspects({crashesToQuarantine: 1});
			suspects.noteBroken('f', 'a', 10);
			noteAnswered({ctx: {suspects}} as unknown as PlainRun, {server: 'a', calledAt: 20, refusal});
			assert.equal(suspects.isQuarantined('f', 30), !isAlive);
		});
	}
});
