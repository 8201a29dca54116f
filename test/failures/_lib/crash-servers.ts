/** Crashes the stand-in servers of a fixture one after the other. */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {waitUntil} from '../../_lib/wait-until/index.js';
import {type ServerStandIn} from '../../stand-ins/users-platform/server.js';
import {deadlineMs, type RelayCall, type RelayFixture} from '../../stand-ins/users-platform/start-relay-fixture.js';

/** Time within which a server that ends after its answer has ended. */
const endMs = 50;

const allServers = ({servers}: RelayFixture): ServerStandIn[] => Object.values(servers);

/** Returns how often servers have crashed. */
export const countCrashes = (fixture: RelayFixture): number => allServers(fixture).reduce((sum, server) => sum + server.crashes(), 0);

/** Publishes the new starts of servers that crashed, and waits until the hosts know them. */
export async function publishRestarts(fixture: RelayFixture, hosts: number): Promise<void> {
	const isOld = (id: string) => !allServers(fixture).some(server => server.id === id);
	for (const server of allServers(fixture)) {
		fixture.publishServer(server);
	}

	for (const id of Array.from({length: hosts}, (_, i) => [...fixture.knownServers(i)]).flat().filter(id => isOld(id))) {
		fixture.store.remove(`servers/${id}`);
	}

	const isUpToDate = (host: number) => {
		const known = fixture.knownServers(host);
		return allServers(fixture).every(({id}) => known.has(id)) && known.size === allServers(fixture).length;
	};

	await waitUntil(() => Array.from({length: hosts}, (_, i) => isUpToDate(i)).every(Boolean), {deadlineMs, what: 'all hosts to know the restarted servers and no others'});
}

/** Sends the request, or the one that a function returns for each call, to the hosts in turn, until the given number of servers have crashed. */
export async function crashServers(fixture: RelayFixture, asked: RelayCall | ((sent: number) => RelayCall), {crashes, hosts}: {crashes: number; hosts: number}): Promise<void> {
	for (let sent = 0; countCrashes(fixture) < crashes; sent++) {
		assert.ok(sent < 10 * crashes, 'too few servers crashed after ten requests for each expected crash');
		const call = typeof asked === 'function' ? asked(sent) : asked;
		await fixture.ask({...call, at: sent % hosts});
		await sleep(endMs);
		await publishRestarts(fixture, hosts);
	}
}
