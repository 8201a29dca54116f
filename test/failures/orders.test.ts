/*
 * Guards against a rollout of weights that leaves callers without servers or brings
 * old weights back. Operators publish an edition with new weights, and hosts order
 * the servers to load them one after the other while callers are being served. A
 * host that is cut off or paused still has an older edition and would order the old
 * weights; some engines refuse an order with an older fencing token, others accept
 * any. A pool always keeps a prefill and a decode server of one version, because
 * hosts never take the last such pair of the pool, nor of a zone that can spare a
 * server. A zone with one server in a role loads only while another zone can serve
 * its callers.
 */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	after, before, describe, it, type TestContext,
} from 'node:test';
import {sealConfig} from '../../src/domain/seal-config/index.js';
import {startFleet, type Fleet, type FleetHost} from '../_lib/start-fleet/index.js';
import {type EngineStandIn} from '../stand-ins/engine/index.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {startCall, type CallResult} from './_lib/start-call.js';

const deadlineMs = 90_000;
const loadMs = 1000;
/** More than twice the interval at which a host plans the rollout. */
const observationMs = 6000;
const askIntervalMs = 250;
const near = 'dvorana-a';
const far = 'dvorana-b';

type Downtime = {server: string; from: number; to: number};

type WeightLoad = {server: string; from: number; to: number; fence: number};

const toRole = (engine: EngineStandIn) => engine.id.includes('prefill') ? 'prefill' : 'decode';

/** Starts sending quick requests to the hosts in turn, until ended. */
function startAsking(hostUrls: () => readonly string[]) {
	const results: CallResult[] = [];
	let hasEnded = false;
	const isOver = () => hasEnded;
	const done = (async () => {
		const calls: Array<Promise<void>> = [];
		for (let i = 0; !isOver(); i++) {
			const urls = hostUrls();
			const {done: answer} = startCall(urls[i % urls.length]!, {prompt: `question ${i}`, maxTokens: 4, isQuick: true});
			calls.push((async () => {
				results.push(await answer);
			})());
			await sleep(askIntervalMs);
		}

		await Promise.all(calls);
	})();
	return {
		/** Stops sending; asserts that no answer was cut off and that at most `mostRefused` requests were refused. */
		async end(t: TestContext, mostRefused = Infinity): Promise<void> {
			hasEnded = true;
			await done;
			const refused = results.filter(({isWhole}) => !isWhole);
			const reasons = new Map<string, number>();
			for (const {status, problem, outcome} of refused) {
				const reason = `${status} ${problem} ${outcome}`;
				reasons.set(reason, (reasons.get(reason) ?? 0) + 1);
			}

			t.diagnostic(`${results.length} quick requests, ${refused.length} not answered whole: ${JSON.stringify(Object.fromEntries(reasons))}`);
			assert.ok(results.length > 0);
			assert.ok(refused.length <= mostRefused, `${refused.length} of ${results.length} quick requests were refused`);
			assert.deepEqual(refused.filter(({status, isBroken}) => status === 200 || isBroken), [], 'an answer was cut off');
		},
	};
}

/** Reads from the status of the host's agent why it holds orders back. */
async function readHeldOrderReasons({agentOperatorUrl}: FleetHost): Promise<string[]> {
	const answer = await fetch(`${agentOperatorUrl}/status`, {signal: AbortSignal.timeout(deadlineMs)});
	const {heldOrders} = await answer.json() as {heldOrders: Array<{reason: string; remedy: string}>};
	assert.ok(heldOrders.every(({remedy}) => remedy !== ''));
	return heldOrders.map(({reason}) => reason);
}

/** Starts a fleet of two zones, each with the given number of servers of each role, and returns what its tests need. */
function createOrdersFixture(serversOfRole: number) {
	let fleet: Fleet;
	let text = '';
	let edition = 0;

	/** Publishes the next edition, with a new version of the weights; prefill engines check fencing tokens, decode engines do not. */
	function publishNext(change: {rollout?: 'allow-gap'} = {}): string {
		const document = JSON.parse(fleet.configText) as {servers: Array<{role: string}>; pools: Array<{name: string}>};
		edition += 1;
		const version = `v${edition}`;
		const next = JSON.stringify({
			...document,
			servers: document.servers.map(server => ({...server, checksFence: server.role === 'prefill'})),
			pools: document.pools.map(pool => pool.name === 'summaries' ? {...pool, version, ...change} : pool),
			end: 'banyanport',
		}, undefined, '\t') + '\n';
		text = sealConfig(next, text === '' ? undefined : text)._unsafeUnwrap().text;
		fleet.platform.publish('config', text);
		return version;
	}

	const engines = () => [...fleet.engines.values()];

	/** The times at which servers were out of service to load weights, from the orders that they accepted. */
	const toLoads = (): WeightLoad[] => engines().flatMap(engine => engine.judge().orders
		.filter(({kind}) => kind === 'load-version')
		.map(({atMs, fence}) => ({
			server: engine.id, from: atMs, to: atMs + loadMs, fence,
		})));

	const countOverlaps = (loads: readonly WeightLoad[]): number => loads.filter((load, i) => loads.some((other, j) => j > i && other.from < load.to && load.from < other.to)).length;

	const hasLoaded = (version: string, some: readonly EngineStandIn[] = engines()): boolean => some.every(engine => engine.judge().orders.at(-1)?.version === version);

	async function waitUntilLoaded(version: string, some?: readonly EngineStandIn[]): Promise<void> {
		await waitUntil(() => hasLoaded(version, some), {deadlineMs, what: `the servers to load ${version}`});
		await sleep(2 * loadMs);
	}

	/** The version that a server served at a time, from the orders that it accepted; `undefined` if it served none. */
	function toServedVersion(engine: EngineStandIn, atMs: number, down: readonly Downtime[]): string | undefined {
		if (down.some(({server, from, to}) => server === engine.id && atMs >= from && atMs < to)) {
			return undefined;
		}

		const last = engine.judge().orders.findLast(order => order.atMs <= atMs);
		return last === undefined || atMs >= last.atMs + loadMs ? last?.version ?? 'v1' : undefined;
	}

	/** Whether a prefill server and a decode server served the same version at a time; a KV cache can't be used with other weights. */
	function hadPair(some: readonly EngineStandIn[], atMs: number, down: readonly Downtime[]): boolean {
		const toVersions = (role: string) => some.filter(engine => toRole(engine) === role).map(engine => toServedVersion(engine, atMs, down)).filter(version => version !== undefined);
		const decodes = toVersions('decode');
		return toVersions('prefill').some(version => decodes.includes(version));
	}

	/** Asserts that no order took the last pair of the pool, of a zone that could spare a server, or of both zones at a time. */
	function assertPairs(down: readonly Downtime[] = []): void {
		const zones = [near, far].map(zone => engines().filter(({id}) => id.startsWith(zone)));
		for (const {server, from} of toLoads()) {
			assert.ok(hadPair(engines(), from + 1, down), `the order to ${server} left no pair`);
			const own = zones.filter(zone => zone.some(({id}) => id === server));
			const keeping = serversOfRole > 1 ? own.filter(zone => hadPair(zone, from - 1, down)) : [];
			assert.ok(keeping.every(zone => hadPair(zone, from + 1, down)), `the order to ${server} left its zone no pair`);
			assert.ok(zones.some(zone => hadPair(zone, from + 1, down)), `the order to ${server} left no zone a pair`);
		}
	}

	/** Asserts that no server accepted an order older than one that it had accepted before, and that loads neither overlapped nor took a last pair. */
	function assertOrders(t: TestContext, down: readonly Downtime[] = []): void {
		for (const engine of engines()) {
			const {orders, refusedOrders} = engine.judge();
			const fences = orders.map(({fence}) => fence);
			const taken = orders.map(({fence, version}) => `${version} of edition ${fence}`).join(', ');
			t.diagnostic(`${engine.id}: accepted ${taken}; refused ${refusedOrders.length}`);
			assert.deepEqual(fences, fences.toSorted((a, b) => a - b), `${engine.id} accepted an order of an older edition`);
		}

		const loads = toLoads();
		assertPairs(down);
		assert.equal(countOverlaps(loads), 0, 'two servers loaded weights at once, which exceeds the rate of the weight store');
	}

	before(async () => {
		fleet = await startFleet({
			zones: [near, far],
			prefillsPerZone: serversOfRole,
			decodesPerZone: serversOfRole,
			isCuttable: true,
			agentFlags: {
				heartbeatInterval: '300ms', suspectAfter: '1s', deadAfter: '3s', loadPollInterval: '200ms',
			},
			engine: {loadVersionMs: loadMs, loadLagMs: 100},
			decodeEngine: {checksFence: false},
		});
		// The first edition has the weights that the servers start with.
		publishNext();
	});
	after(async () => {
		await fleet.stop();
	});

	return {
		fleet: () => fleet, edition: () => edition, publishNext, engines, hasLoaded, waitUntilLoaded, assertOrders, toLoads, countOverlaps,
	};
}

describe('orders to zones with one server in a role', () => {
	const {fleet: toFleet, publishNext, engines, hasLoaded, waitUntilLoaded, assertOrders, toLoads, countOverlaps} = createOrdersFixture(1);

	it('spare the last serving server of a role, and are sent one after the other', async t => {
		const fleet = toFleet();
		const lost = fleet.engine(`${near}-decode-1`);
		const last = fleet.engine(`${far}-decode-1`);
		const prefills = engines().filter(engine => toRole(engine) === 'prefill');
		const lostAt = performance.now();
		await lost.crash();
		const asking = startAsking(() => fleet.hosts.map(({callerUrl}) => callerUrl));
		const version = publishNext();
		await waitUntil(() => prefills.some(engine => hasLoaded(version, [engine])), {deadlineMs, what: 'a prefill server to load the new weights'});
		await sleep(observationMs);
		assert.deepEqual(last.judge().orders, [], 'the last serving decode server was ordered to load weights');
		await lost.revive();
		const down = [{server: lost.id, from: lostAt, to: performance.now()}];
		await waitUntilLoaded(version);
		await asking.end(t);
		const [first, second] = [lost.judge().orders[0]!.atMs, last.judge().orders[0]!.atMs];
		assert.ok(second >= first + loadMs, 'the last serving decode server was ordered to load weights before the other one served again');
		assertOrders(t, down);
	});

	it('wait while the zone that could serve the callers meanwhile is cut off, and continue when it is back', async t => {
		const fleet = toFleet();
		const [side, other] = [`${near}-1`, `${far}-1`];
		const asking = startAsking(() => [fleet.host(side).callerUrl, fleet.host(other).callerUrl]);
		fleet.network.cut(side, other);
		const before = toLoads().length;
		const version = publishNext();
		await waitUntil(async () => {
			const reasons = await readHeldOrderReasons(fleet.host(side));
			return reasons.includes('no-stand-in');
		}, {deadlineMs, what: 'the status to give no-stand-in as the reason why orders wait'});
		await sleep(observationMs);
		assert.equal(toLoads().length, before, 'an order took the last pair of a zone while the other zone was cut off');
		fleet.network.heal();
		await waitUntilLoaded(version);
		await asking.end(t, 0);
		assertOrders(t);
	});

	it('are sent during the partition if operators allow a gap, one after the other', async t => {
		const fleet = toFleet();
		const [side, other] = [`${near}-1`, `${far}-1`];
		const asking = startAsking(() => [fleet.host(side).callerUrl]);
		fleet.network.cut(side, other);
		await waitUntilLoaded(publishNext({rollout: 'allow-gap'}));
		fleet.network.heal();
		await asking.end(t);
		// Hosts on both sides may send a server the same order at nearly the same time, which counts as one load.
		const loads = toLoads().filter((load, i, all) => !all.some((other, j) => j < i && other.server === load.server && Math.abs(other.from - load.from) < loadMs));
		assert.equal(countOverlaps(loads), 0, `two servers loaded weights at once: ${JSON.stringify(loads)}`);
	});
});

describe('orders to zones that can spare a server', () => {
	const {fleet: toFleet, edition, publishNext, engines, hasLoaded, waitUntilLoaded, assertOrders} = createOrdersFixture(2);

	it('of a host that is cut off and has an older edition are not sent', async t => {
		const fleet = toFleet();
		const [side, staleSide] = [`${near}-1`, `${far}-1`];
		const asking = startAsking(() => [fleet.host(side).callerUrl]);
		// The host can reach every server, but neither the platform nor the host with the newer edition.
		fleet.network.cut(staleSide, 'platform');
		fleet.network.cut(staleSide, side);
		const version = publishNext();
		await waitUntilLoaded(version);
		await sleep(observationMs);
		assertOrders(t);
		assert.ok(hasLoaded(version));
		fleet.network.heal();
		await asking.end(t, 0);
	});

	it('of a host that was paused between its decision and the sending are not sent', async t => {
		const fleet = toFleet();
		const [side, sleeper] = [`${near}-1`, `${far}-1`];
		const servers = engines().filter(({id}) => id.startsWith(far));
		const asking = startAsking(() => [fleet.host(side).callerUrl]);
		publishNext();
		// The host sends orders to the servers of its own zone, but the cuts keep them from arriving.
		const isOrdered = (id: string) => fleet.engine(id).judge().orders.at(-1)?.fence === edition();
		await waitUntil(() => isOrdered(`${near}-decode-1`) || isOrdered(`${near}-prefill-1`), {deadlineMs, what: 'the first order of the new edition'});
		for (const {id} of servers) {
			fleet.network.cut(sleeper, id);
		}

		await sleep(3000);
		fleet.host(sleeper).agent().pause();
		fleet.network.heal();
		const version = publishNext();
		await waitUntilLoaded(version);
		fleet.host(sleeper).agent().resume();
		await sleep(observationMs);
		assertOrders(t);
		assert.ok(hasLoaded(version));
		await asking.end(t, 0);
	});
});
