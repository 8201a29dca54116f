import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type AcceptedConfig} from '../../ports/config.js';
import {type LoadReport} from '../../ports/engine.js';
import {createFleetTable} from './index.js';

const accepted = {
	version: {edition: 1, revision: 1, digest: 'a'},
	text: '',
	config: {servers: [{id: 's1'}, {id: 's2'}]},
} as unknown as AcceptedConfig;
const load: LoadReport = {
	server: 's1', role: 'decode', model: 'm', version: '1', adapters: [],
	state: 'serving',
	ageMs: 0,
	slotsTotal: 20, slotsUsed: 1, queued: 0, queuedTokens: 0, tokensPerSecond: 30, linkBytesPerSecond: 1, fence: 0,
};

function createTable() {
	const table = createFleetTable();
	table.setConfig(accepted);
	return table;
}

describe('createFleetTable', () => {
	it('lists the published servers alone, and keeps the objects that did not change', () => {
		const table = createTable();
		table.noteLoad(load, 100);
		table.noteLoad({...load, server: 'stranger'}, 100);
		const before = table.view(200).servers;
		table.noteLoad({...load, slotsUsed: 2}, 300);
		const next = table.view(400).servers;
		assert.deepEqual([...next.keys()], ['s1', 's2']);
		assert.notEqual(next.get('s1'), before.get('s1'));
		assert.equal(next.get('s2'), before.get('s2'));
	});

	it('keeps the newer of two reports that arrive out of order', () => {
		const table = createTable();
		table.noteLoad({...load, slotsUsed: 9}, 300);
		table.noteLoad({...load, slotsUsed: 1}, 200);
		assert.equal(table.view(400).servers.get('s1')!.load!.slotsUsed, 9);
	});

	it('marks a server unreachable only for polls that began after its last report', () => {
		const table = createTable();
		const isReachable = () => table.view(0).servers.get('s1')!.reachable;
		table.noteLoad(load, 200);
		table.noteUnreachable('s1', 150);
		assert.equal(isReachable(), true);
		table.noteUnreachable('s1', 250);
		assert.equal(isReachable(), false);
		table.noteLoad(load, 100);
		assert.equal(isReachable(), false, 'the report is older than the one before');
		table.noteLoad(load, 300);
		assert.equal(isReachable(), true);
		assert.equal(table.view(0).servers.get('s1')!.reachableAt, 300);
	});

	it('ignores a list of an older revision', () => {
		const table = createTable();
		assert.ok(table.setFleet({hosts: [], servers: [{id: 's1', state: 'leaving'}]}, 5));
		assert.ok(!table.setFleet({hosts: [], servers: []}, 4));
		assert.ok(table.view(0).servers.get('s1')!.leaving);
	});

	it('overrides a report that a server is leaving only by a load report that is later by the margin', () => {
		const table = createTable();
		assert.ok(table.noteLeaving('s1', 1000));
		assert.ok(!table.noteLeaving('s1', 1000), 'the same report is not new twice');
		assert.ok(!table.noteLeaving('stranger', 1000));
		table.noteLoad(load, 1500);
		assert.ok(table.view(1600).servers.get('s1')!.leaving);
		table.noteLoad(load, 2500);
		assert.ok(!table.view(2600).servers.get('s1')!.leaving);
	});

	it('never lets the platform\'s confirmation go back', () => {
		const table = createTable();
		table.noteConfirmed(50);
		table.noteConfirmed(20);
		assert.equal(table.view(60).platformConfirmedAt, 50);
	});
});
