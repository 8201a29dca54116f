import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createFleetTable} from '../../../domain/create-fleet-table/index.js';
import {createLeavingOverrides} from '../../../domain/create-leaving-overrides/index.js';
import {createLoadBroadcast} from '../../../domain/create-load-broadcast/index.js';
import {type AcceptedConfig} from '../../../ports/config.js';
import {type LoadReport} from '../../../ports/engine.js';
import {type HostLife, type HostStatus} from '../../../ports/view.js';
import {peerEvents} from './peer-messages.js';
import {spreadLoads} from './spread-loads.js';

const accepted = {
	version: {edition: 1, revision: 1, digest: 'a'}, text: '', config: {servers: [{id: 'd-a', zone: 'a'}, {id: 'd-b', zone: 'b'}]},
} as unknown as AcceptedConfig;

const toHost = (id: string, zone: string, life: HostLife = 'alive'): [string, HostStatus] => [id, {
	id, zone, life, incarnation: 1, entryAddress: '', agentAddress: '', leaving: false,
}];

const toReport = (server: string): LoadReport => ({
	server, role: 'decode', model: 'm', version: '1', adapters: [],
	state: 'serving',
	ageMs: 0,
	slotsTotal: 20, slotsUsed: 1, queued: 0, queuedTokens: 0, tokensPerSecond: 30, linkBytesPerSecond: 1, fence: 0,
});

/** What host a-1 thinks of a server that it heard of at 10 s, after another host said at 11 s that it is not reached. */
function hear(from: string, server: string, {askedAt = 10_500, lifeOfB = 'alive'}: {askedAt?: number; lifeOfB?: HostLife} = {}): boolean | undefined {
	const table = createFleetTable();
	table.setConfig(accepted);
	table.noteLoad(toReport(server), 10_000);
	const loads = spreadLoads({
		table,
		hold: createLeavingOverrides(),
		self: () => ({id: 'a-1', zone: 'a'}),
		hosts: () => new Map([toHost('a-1', 'a'), toHost('a-2', 'a'), toHost('b-1', 'b', lifeOfB)]),
		send: () => undefined,
		call: async () => ({isOk: () => false, unwrapOr: value => value}),
		spreadTargets: () => [],
		now: () => 11_000,
		toArrival: () => 11_000,
	});
	const sender = createLoadBroadcast();
	sender.noteUnreachable(server, askedAt);
	loads.handleEvent(from, peerEvents.loads, sender.takeDue(1, 11_000));
	return table.view(11_000).servers.get(server)!.reachable;
}

describe('spreadLoads', () => {
	const rows: Array<[string, Parameters<typeof hear>, boolean]> = [
		['takes a report that a server is unreachable from its own zone', ['b-1', 'd-b'], false],
		['takes it from a host of this zone', ['a-2', 'd-b'], false],
		['takes it from afar when the server\'s zone has nobody', ['a-2', 'd-b', {lifeOfB: 'dead'}], false],
		['does not take it from a zone that may only be cut off from the server', ['b-1', 'd-a'], true],
		['does not take it from a host that it does not know', ['x-1', 'd-a'], true],
		['does not take it when a report is younger than the polls that failed', ['a-2', 'd-a', {askedAt: 9000}], true],
	];
	for (const [name, said, expected] of rows) {
		it(name, () => {
			assert.equal(hear(...said), expected);
		});
	}
});
