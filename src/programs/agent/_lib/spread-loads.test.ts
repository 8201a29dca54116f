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

/** Returns the reachability that host a-1 assumes for a server with a load report from 10 s, after another host reported at 11 s that the server is unreachable. */
function hear(from: string, server: string, {askedAt = 10_500, lifeOfB = 'alive'}: {askedAt?: number; lifeOfB?: HostLife} = {}): boolean | undefined {
	const table = createFleetTable();
	table.setConfig(accepted);
	table.noteLoad(toReport(server), 10_000);
	const loads = spreadLoads({
		table,
		leavingOverrides: createLeavingOverrides(),
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
		['believes that a server is unreachable if a host of the server\'s zone reports it', ['b-1', 'd-b'], false],
		['believes it if a host of its own zone reports it', ['a-2', 'd-b'], false],
		['believes it from another zone if the server\'s zone has no live host', ['a-2', 'd-b', {lifeOfB: 'dead'}], false],
		['ignores a report from a zone that may only be partitioned from the server', ['b-1', 'd-a'], true],
		['ignores a report from an unknown host', ['x-1', 'd-a'], true],
		['ignores a report if a load report is newer than the failed polls', ['a-2', 'd-a', {askedAt: 9000}], true],
	];
	for (const [name, said, expected] of rows) {
		it(name, () => {
			assert.equal(hear(...said), expected);
		});
	}
});
