import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createCrashSuspects} from '../../../../domain/create-crash-suspects/index.js';
import {createPartQuarantine} from '../../../../domain/create-part-quarantine/index.js';
import {type ServerEntry} from '../../../../ports/config.js';
import {type EngineRefusalReason} from '../../../../ports/engine.js';
import {type PlainEnd} from '../../send-plain/index.js';
import {findRunQuarantine, noteAnswered, noteRefusedConnection} from './send-step.js';
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
			const partQuarantine = createPartQuarantine();
			suspects.noteBroken('f', 'a', 10);
			partQuarantine.suspects.noteBroken('part', 'a', 10);
			noteAnswered({ctx: {suspects, partQuarantine, log: {info: () => undefined}}} as unknown as PlainRun, {server: 'a', calledAt: 20, refusal});
			assert.equal(suspects.isQuarantined('f', 30), !isAlive);
			assert.deepEqual(partQuarantine.suspects.crashedServers('part', 30), isAlive ? [] : ['a']);
		});
	}
});

/* Guards against a request that ends servers after its callers have left, while no other request runs beside it. */
describe('noteRefusedConnection', () => {
	const message = 'ECONNREFUSED';
	const cases: ReadonlyArray<{what: string; ended: PlainEnd; leaving: boolean; isCounted: boolean}> = [
		{
			what: 'a refused connection', ended: {kind: 'failed', fault: {kind: 'unreachable', message, isRefused: true}}, leaving: false, isCounted: true,
		},
		{
			what: 'a refused connection of a leaving server', ended: {kind: 'failed', fault: {kind: 'unreachable', message, isRefused: true}}, leaving: true, isCounted: false,
		},
		{
			what: 'a connection that could not be opened in time', ended: {kind: 'failed', fault: {kind: 'unreachable', message}}, leaving: false, isCounted: false,
		},
		{
			what: 'a closed connection', ended: {kind: 'failed', fault: {kind: 'broken', message, isClosed: true}}, leaving: false, isCounted: false,
		},
	];
	for (const {what, ended, leaving, isCounted} of cases) {
		it(`${isCounted ? 'counts' : 'does not count'} the server as ended after ${what}`, () => {
			const suspects = createCrashSuspects({crashesToQuarantine: 1});
			const partQuarantine = createPartQuarantine();
			for (const [record, fingerprint] of [[suspects, 'f'], [partQuarantine.suspects, 'part']] as const) {
				record.noteUnresolved({
					fingerprint, server: 'a', startedAt: 0, isWhole: false,
				}, 100);
			}

			const ctx = {
				suspects, partQuarantine, log: {info: () => undefined, warn: () => undefined}, services: {clock: {now: () => 1000}, toView: () => ({servers: new Map([['a', {leaving}]])})},
			};
			noteRefusedConnection({ctx} as unknown as PlainRun, {id: 'a'} as unknown as ServerEntry, ended);
			assert.equal(suspects.isQuarantined('f', 1000), isCounted);
			assert.deepEqual(partQuarantine.suspects.crashedServers('part', 1000), isCounted ? ['a'] : []);
		});
	}
});

// Guards against a host that comes back and sends on a request under which servers ended while it was away.
describe('findRunQuarantine', () => {
	it('waits until other hosts have told what they know, and looks then', async () => {
		const suspects = createCrashSuspects({crashesToQuarantine: 1});
		const ctx = {
			suspects,
			partQuarantine: createPartQuarantine(),
			services: {clock: {now: () => 10}},
			async untilCaughtUp() {
				suspects.noteBroken('f', 'a', 5);
			},
		};
		assert.equal(await findRunQuarantine({
			ctx, fingerprint: 'f', parts: [], isTrial: false,
		} as unknown as PlainRun), 'request');
	});
});
