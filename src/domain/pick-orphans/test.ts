import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Hold} from '../../ports/engine.js';
import {type HostLife, type HostStatus} from '../../ports/view.js';
import {pickOrphans} from './index.js';

const now = 10_000;

function toHold(fields: Partial<Hold> = {}): Hold {
	return {
		requestId: 'r', attempt: 1, owner: {host: 'a-1', incarnation: 50}, kind: 'reservation', bytes: 1, heldForMs: 100, readers: 0, ...fields,
	};
}

function toHosts(life: HostLife, entryGone = 0): ReadonlyMap<string, HostStatus> {
	return new Map([['a-1', {
		id: 'a-1', zone: 'a', life, incarnation: 40, entryIncarnation: 60, entryGone, entryAddress: '', agentAddress: '', leaving: false,
	}]]);
}

describe('pickOrphans', () => {
	type Case = {name: string; hold?: Partial<Hold>; life: HostLife; entryGone?: number; deadForMs?: number; cause: string | undefined};
	const cases: readonly Case[] = [
		{name: 'a live owner', life: 'alive', cause: undefined},
		{name: 'a suspected owner, which may be behind a partition', life: 'suspect', cause: undefined},
		{
			name: 'an unknown owner', hold: {owner: {host: 'stranger', incarnation: 1}}, life: 'dead', cause: undefined,
		},
		{
			name: 'an owner just declared dead', life: 'dead', deadForMs: 100, cause: undefined,
		},
		{
			name: 'an owner dead past the grace', life: 'dead', deadForMs: 600, cause: 'host-dead',
		},
		{
			name: 'an owner that has left', life: 'left', deadForMs: 600, cause: 'host-dead',
		},
		{
			name: 'a dead owner whose stream is read', hold: {readers: 1}, life: 'dead', deadForMs: 600, cause: undefined,
		},
		{
			name: 'an entry that ended on a live host', life: 'alive', entryGone: 50, cause: 'entry-ended',
		},
		{
			name: 'an entry that ended on a suspected host', life: 'suspect', entryGone: 55, cause: 'entry-ended',
		},
		{
			name: 'the entry after the one that ended', life: 'alive', entryGone: 49, cause: undefined,
		},
	];
	for (const {name, hold, life, entryGone, deadForMs = 0, cause} of cases) {
		it(`${cause === undefined ? 'keeps' : 'releases'} the holds of ${name}`, () => {
			const orphans = pickOrphans([toHold(hold)], toHosts(life, entryGone), now, {deadSince: new Map([['a-1', now - deadForMs]]), graceMs: 500});
			assert.deepEqual(orphans.map(orphan => orphan.cause), cause === undefined ? [] : [cause]);
		});
	}

	it('keeps all holds of an attempt that has a reader, and no hold of another attempt', () => {
		const holds = [toHold({kind: 'kv'}), toHold({kind: 'stream', readers: 1}), toHold({attempt: 2})];
		const orphans = pickOrphans(holds, toHosts('dead'), now, {deadSince: new Map([['a-1', 0]]), graceMs: 500});
		assert.deepEqual(orphans.map(({hold}) => hold.attempt), [2]);
	});
});
