import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Config, type ServerEntry} from '../../ports/config.js';
import {type LoadReport} from '../../ports/engine.js';
import {type FleetView, type HostStatus, type ServerStatus} from '../../ports/view.js';
import {toPoolCapacity} from './index.js';

const server = (id: string, zone: string, rest: Partial<ServerEntry> = {}): ServerEntry => ({
	id, zone, url: 'http://127.0.0.1:1', role: 'decode', pool: 'p', slots: 20, checksFence: false, ...rest,
});

const host = (id: string, zone: string, life: HostStatus['life'] = 'alive'): [string, HostStatus] => [id, {
	id, zone, life, incarnation: 1, entryAddress: '', agentAddress: '', leaving: false,
}];

const status = (id: string, rest: Partial<ServerStatus>): [string, ServerStatus] => [id, {
	id, leaving: false, load: undefined, loadAt: 0, reachable: true, ...rest,
}];

function toView(servers: readonly ServerEntry[], hosts: Array<[string, HostStatus]>, statuses: Array<[string, ServerStatus]>): FleetView {
	const config = {
		zones: [{id: 'a', region: 'r'}, {id: 'b', region: 'r'}, {id: 'far', region: 'q'}],
		pools: [{name: 'p'}],
		servers,
	} as unknown as Config;
	return {
		accepted: {config, version: {edition: 1, revision: 1, digest: ''}, text: ''}, hosts: new Map(hosts), servers: new Map(statuses), platformConfirmedAt: 0, receivedAt: 0,
	};
}

const load = (slotsTotal: number, slotsUsed: number): ServerStatus['load'] => {
	const report: Partial<LoadReport> = {slotsTotal, slotsUsed};
	return report as LoadReport;
};

describe('toPoolCapacity', () => {
	const left = status('d1', {leaving: true});
	const lost = status('d2', {reachable: false});
	const both = [server('d1', 'a'), server('d2', 'b')];
	const cases: ReadonlyArray<[string, FleetView, Record<string, unknown>]> = [
		['counts the servers of the region and divides by its live hosts', toView([...both, server('d3', 'far')], [host('h1', 'a'), host('h2', 'b'), host('h3', 'far')], []), {slots: 40, share: 0.5}],
		['does not count a dead host', toView(both, [host('h1', 'a'), host('h2', 'b', 'dead')], []), {slots: 40, share: 1}],
		['does not count a suspected host, whose places would be idle', toView(both, [host('h1', 'a'), host('h2', 'b', 'suspect')], []), {slots: 40, share: 1}],
		['counts all hosts when most are suspected, as on a partitioned host', toView(both, [host('h1', 'a'), host('h2', 'b', 'suspect'), host('h3', 'b', 'suspect')], []), {slots: 40, share: 1 / 3}],
		['counts suspected hosts where use is reported', toView(both, [host('h1', 'a'), host('h2', 'b', 'suspect')], [status('d1', {load: load(20, 4)})]), {slots: 40, share: 0.5, used: 4}],
		['uses the slots that servers report', toView(both, [], [status('d1', {load: load(16, 4)})]), {slots: 36, share: 1, used: 4}],
		['does not count a server that is leaving, nor an unreachable one while another is reachable', toView([...both, server('d4', 'b')], [], [left, lost]), {slots: 20, share: 1}],
		['counts unreachable servers when no other is left', toView(both, [], [status('d1', {reachable: false}), status('d2', {reachable: false})]), {slots: 40, share: 1}],
		['does not count a leaving server, even when no other is left', toView(both, [], [status('d1', {leaving: true}), status('d2', {leaving: true, reachable: false})]), {slots: 0, share: 1}],
		['does not count a prefill server', toView([server('p1', 'a', {role: 'prefill'}), server('d1', 'a')], [], []), {slots: 20, share: 1}],
	];
	for (const [name, view, expected] of cases) {
		it(name, () => {
			assert.deepEqual(toPoolCapacity(view, 'a'), [{pool: 'p', ...expected}]);
		});
	}

	it('returns no pool before a configuration is accepted', () => {
		assert.deepEqual(toPoolCapacity({...toView([], [], []), accepted: undefined}, 'a'), []);
	});
});
