import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createCollectedLines} from '../../../../../test/_lib/create-collected-lines/index.js';
import {createLog} from '../../../../adapters/log/index.js';
import {createCrashSuspects} from '../../../../domain/create-crash-suspects/index.js';
import {createPartQuarantine} from '../../../../domain/create-part-quarantine/index.js';
import {createLostServers} from './create-lost-servers.js';

const log = createLog({
	level: 'error', program: 'test', host: 'h', zone: 'a', incarnation: 1, sink: createCollectedLines().sink,
});

/** Loses three servers, each with a run without an answer that ended so long before, which announced so long before that they leave, and returns whether the request is quarantined. */
function loseServers({silentMs, isCut = false, leavingMs}: {silentMs: number; isCut?: boolean; leavingMs?: number}): boolean {
	const suspects = createCrashSuspects();
	const onLost = createLostServers({
		suspects, partQuarantine: createPartQuarantine(), log, clock: {now: () => 10_000, wallNow: () => 0}, isZoneSilent: zone => isCut && zone === 'b',
	});
	for (const id of ['s1', 's2', 's3']) {
		suspects.noteUnresolved({
			fingerprint: 'f', server: id, startedAt: 0, isWhole: false,
		}, 10_000 - silentMs);
		onLost({id, zone: 'b'}, leavingMs === undefined ? undefined : 10_000 - leavingMs);
	}

	return suspects.isQuarantined('f', 10_000);
}

describe('createLostServers', () => {
	it('counts runs without an answer at servers that are published no more', () => {
		assert.equal(loseServers({silentMs: 4000}), true);
	});

	it('does not count runs that ended long before', () => {
		assert.equal(loseServers({silentMs: 8000}), false);
	});

	/* Guards against refusing requests because their servers are behind a cut. */
	it('does not count servers of a zone that is cut off', () => {
		assert.equal(loseServers({silentMs: 4000, isCut: true}), false);
	});

	/* Guards against a request that goes on ending servers which have announced that they leave. */
	it('counts runs that went on after the server had announced that it leaves', () => {
		assert.equal(loseServers({silentMs: 3500, leavingMs: 4000}), true);
	});

	/* Guards against refusing requests whose servers left as planned. */
	it('does not count runs that were over when the server announced that it leaves', () => {
		assert.equal(loseServers({silentMs: 4500, leavingMs: 4000}), false);
		assert.equal(loseServers({silentMs: 900, leavingMs: 500}), false);
	});
});
