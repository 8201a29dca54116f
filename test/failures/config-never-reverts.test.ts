/*
 * Staff publish a change and every host answers by it within seconds. Then the
 * platform serves something old, half a document or nothing, hosts restart, a
 * zone is cut off, two operators seal from one edition, an edit is bad, or only
 * some parts of a document in parts are there. What callers of any host see never goes back to an earlier edition, because a host
 * takes the highest version that it has seen, from the platform or from peers.
 */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	after, afterEach, before, describe, it, type TestContext,
} from 'node:test';
import {sealConfig} from '../../src/domain/seal-config/index.js';
import {sealParts} from '../../src/domain/seal-parts/index.js';
import {splitConfig} from '../../src/domain/split-config/index.js';
import {toPartKey} from '../../src/domain/to-part-key/index.js';
import {type ConfigPart} from '../../src/ports/config.js';
import {startFleet, type Fleet, type FleetHost} from '../_lib/start-fleet/index.js';
import {waitUntil} from '../_lib/wait-until/index.js';

const deadlineMs = 30_000;
const lookEveryMs = 20;
/** More than a host waits between two reads of the platform. */
const betweenReadsMs = 1000;
const near = 'dvorana-a';
const far = 'dvorana-b';
/** Reads of the platform that one host may make in its first ten seconds. */
const startReadsOfHost = 16;
const startWindowMs = 10_000;

type Published = {marker: number; text: string; revision: number; at: number};
type Look = {marker: number; at: number};

/** The edition that a host's callers see, by the model that only this edition names. */
async function readMarker(host: FleetHost): Promise<number | undefined> {
	try {
		const answer = await fetch(`${host.callerUrl}/v1/models`, {headers: {'x-workspace': 'kavarna-lipa'}, signal: AbortSignal.timeout(2000)});
		const {data = []} = await answer.json() as {data?: Array<{id: string}>};
		const found = data.find(({id}) => id.startsWith('edition-'));
		return found && Number(found.id.slice('edition-'.length));
	} catch {
		return undefined;
	}
}

/** Looks at all hosts again and again, as callers do, and keeps each change. */
function watchHosts(hosts: readonly FleetHost[]) {
	const seen = new Map<string, Look[]>(hosts.map(({id}) => [id, []]));
	let hasEnded = false;
	const isOver = () => hasEnded;
	const watches = hosts.map(async host => {
		const looks = seen.get(host.id)!;
		while (!isOver()) {
			const marker = await readMarker(host);
			if (marker !== undefined && marker !== looks.at(-1)?.marker) {
				looks.push({marker, at: performance.now()});
			}

			await sleep(lookEveryMs);
		}
	});
	return {
		latest: (host: FleetHost): Look | undefined => seen.get(host.id)!.at(-1),
		/** Hosts whose callers saw an earlier edition after a later one. */
		reverted: () => [...seen].filter(([, looks]) => looks.some(({marker}, i) => i > 0 && marker < looks[i - 1]!.marker)).map(([id, looks]) => ({id, markers: looks.map(({marker}) => marker)})),
		async end() {
			hasEnded = true;
			await Promise.all(watches);
		},
	};
}

async function readMetric(host: FleetHost, name: string): Promise<number> {
	const answer = await fetch(`${host.agentOperatorUrl}/metrics`, {signal: AbortSignal.timeout(2000)});
	const text = await answer.text();
	return Number(new RegExp(String.raw`${name}(?:\{[^}]*\})? (\d+)`).exec(text)?.[1] ?? Number.NaN);
}

type Status = {refused?: {revision: number; kind: string; reason: string}; warning?: string};

async function readStatus(host: FleetHost): Promise<Status> {
	const answer = await fetch(`${host.agentOperatorUrl}/status`, {signal: AbortSignal.timeout(2000)});
	return await answer.json() as Status;
}

describe('a configuration in force', () => {
	let fleet: Fleet;
	let watch: ReturnType<typeof watchHosts>;
	let current: Published;
	let marker = 0;
	const spreadMs: number[] = [];

	/** The fleet's document with a model that names this edition. */
	function toPlain(number: number, parts: Record<string, unknown> = {}): string {
		const {end, ...document} = JSON.parse(fleet.configText) as Record<string, unknown>;
		const pools = [...fleet.pools, {name: 'marker', model: `edition-${number}`, classes: ['quick']}];
		return JSON.stringify({
			...document, pools, ...parts, end,
		}, undefined, '\t') + '\n';
	}

	function toSealed(previous: string | undefined): {marker: number; text: string} {
		marker += 1;
		return {marker, text: sealConfig(toPlain(marker), previous)._unsafeUnwrap().text};
	}

	/** The next edition in parts, of which the part of rules is another each time. */
	function toSealedParts(): {marker: number; text: string; parts: readonly ConfigPart[]} {
		marker += 1;
		const source = splitConfig(toPlain(marker), () => true)._unsafeUnwrap();
		const texts = new Map(source.parts.map(({name, text}) => [name, text.replace('"desk changes"', `"desk changes ${marker}"`)]));
		const {text, parts} = sealParts(source.root, name => texts.get(name), current.text)._unsafeUnwrap();
		return {marker, text, parts};
	}

	function publishParts(parts: readonly ConfigPart[]): void {
		for (const part of parts) {
			fleet.platform.publish(toPartKey(part), part.text);
		}
	}

	function publish(document: {marker: number; text: string}): Published {
		const at = performance.now();
		return {...document, revision: fleet.platform.publish('config', document.text), at};
	}

	function publishNext(): Published {
		current = publish(toSealed(current.text));
		return current;
	}

	async function waitUntilSeen(wanted: Published, hosts: readonly FleetHost[] = fleet.hosts): Promise<number[]> {
		await waitUntil(() => hosts.every(host => watch.latest(host)?.marker === wanted.marker), {deadlineMs, what: `edition ${wanted.marker} on ${hosts.map(({id}) => id).join(', ')}`});
		return hosts.map(host => Math.round(watch.latest(host)!.at - wanted.at));
	}

	/** Publishes the next edition, waits for it on all hosts, and keeps how long it took. */
	async function putInForce(): Promise<{older: Published; newer: Published}> {
		const older = current;
		const newer = publishNext();
		spreadMs.push(...await waitUntilSeen(newer));
		return {older, newer};
	}

	/** Waits until hosts say that they refused what they were offered under a revision. */
	async function waitUntilRefused(hosts: readonly FleetHost[], revision: number): Promise<void> {
		const isRefused = async (host: FleetHost): Promise<boolean> => {
			const {refused} = await readStatus(host);
			return refused?.revision === revision;
		};

		await waitUntil(async () => {
			const refusals = await Promise.all(hosts.map(async host => isRefused(host)));
			return refusals.every(Boolean);
		}, {deadlineMs, what: `a refusal of revision ${revision} by ${hosts.map(({id}) => id).join(', ')}`, everyMs: 100});
	}

	async function restart(hosts: readonly FleetHost[]): Promise<void> {
		await Promise.all(hosts.map(async host => host.kill()));
		await Promise.all(hosts.map(async host => host.start()));
	}

	const ofZone = (zone: string) => fleet.hosts.filter(host => host.zone === zone);

	before(async () => {
		fleet = await startFleet({zones: [near, far], hostsPerZone: 2, isCuttable: true});
		watch = watchHosts(fleet.hosts);
		current = publish(toSealed(undefined));
		await waitUntilSeen(current);
	});
	afterEach(async () => {
		fleet.network.heal();
		fleet.platform.setFaults({});
		await putInForce();
		assert.deepEqual(watch.reverted(), []);
	});
	after(async () => {
		await watch.end();
		await fleet.stop();
	});

	const stale = [
		{name: 'the document before under its own revision', toFaults: (older: Published) => ({oldRevision: older.revision})},
		{name: 'the document before under the newest revision', toFaults: (older: Published) => ({oldDocument: older.revision})},
	];
	const restarts = [
		{name: 'no host restarts', pick: () => []},
		{name: 'one host restarts', pick: () => fleet.hosts.slice(0, 1)},
		{name: 'all hosts of a zone are replaced', pick: () => ofZone(near)},
	];
	for (const {name, toFaults} of stale) {
		for (const {name: which, pick} of restarts) {
			it(`stays when the platform serves ${name} and ${which}`, async () => {
				const {older, newer} = await putInForce();
				// A host that heard of the newest from a peer may not have read it yet, and would find nothing new in the older one.
				await sleep(betweenReadsMs);
				const faults = toFaults(older);
				fleet.platform.setFaults(faults);
				const restarted = pick();
				await restart(restarted);
				// Under the newest revision it is no news to hosts that wait for a later one.
				const offered = restarted.length > 0 || 'oldDocument' in faults ? restarted : fleet.hosts;
				await waitUntilRefused(offered, 'oldDocument' in faults ? newer.revision : older.revision);

				await waitUntilSeen(newer);
				assert.deepEqual(watch.reverted(), []);
			});
		}
	}

	const firstServed = [
		{name: 'a part of it', toFaults: () => ({truncateAt: 0.7}), isRefused: true},
		{name: 'the document before in its place', toFaults: () => ({oldDocument: current.revision}), isRefused: false},
	];
	for (const {name, toFaults, isRefused} of firstServed) {
		it(`comes in force although the platform first served ${name}`, async t => {
			const {newer: good} = await putInForce();
			fleet.platform.setFaults(toFaults());
			const newer = publishNext();
			if (isRefused) {
				await waitUntilRefused(fleet.hosts, newer.revision);
			} else {
				await waitUntil(async () => {
					const revisions = await Promise.all(fleet.hosts.map(async host => readMetric(host, 'config_revision')));
					return revisions.every(revision => revision === newer.revision);
				}, {deadlineMs, what: 'the document before under its later revision'});
			}

			await waitUntilSeen(good);
			fleet.platform.setFaults({});
			const healedAt = performance.now();
			await waitUntilSeen(newer);
			t.diagnostic(`in force everywhere ${Math.round(performance.now() - healedAt)} ms after the platform served it`);
		});
	}

	it('is one of two that were sealed from one edition, the same everywhere', async () => {
		const {newer} = await putInForce();
		const [one, other] = [toSealed(newer.text), toSealed(newer.text)];
		fleet.network.isolate(far);
		const first = publish(one);
		await waitUntilSeen(first, ofZone(near));
		current = publish(other);
		fleet.network.heal();
		await waitUntilSeen(current);
		const statuses = await Promise.all(ofZone(near).map(async host => readStatus(host)));
		assert.ok(statuses.every(({warning}) => warning?.includes('two documents were sealed as edition')), 'the rival was not named to staff');
		fleet.platform.setFaults({oldRevision: first.revision});
		await restart(ofZone(far));
		await waitUntilRefused(ofZone(far), first.revision);
		await waitUntilSeen(current);
	});

	it('reaches a cut zone that rejoins with an older edition, from peers alone', async t => {
		const {newer: held} = await putInForce();
		fleet.network.isolate(far);
		const newer = publishNext();
		await waitUntilSeen(newer, ofZone(near));
		await waitUntilSeen(held, ofZone(far));
		fleet.network.heal();
		fleet.network.cut(far, 'platform');
		const healedAt = performance.now();
		await waitUntilSeen(newer);
		t.diagnostic(`in force in the zone ${Math.round(performance.now() - healedAt)} ms after it was joined again`);
	});

	it('is brought along by a zone that rejoins with a newer edition, while the platform serves the older', async t => {
		const {newer: held} = await putInForce();
		fleet.network.isolate(near);
		const newer = publishNext();
		await waitUntilSeen(newer, ofZone(far));
		await waitUntilSeen(held, ofZone(near));
		fleet.platform.setFaults({oldRevision: held.revision});
		fleet.network.heal();
		const healedAt = performance.now();
		await waitUntilSeen(newer);
		t.diagnostic(`in force in the other zone ${Math.round(performance.now() - healedAt)} ms after it was joined again`);
	});

	const badEdits = [
		{name: 'names a pool that does not exist', toText: () => toPlain(marker + 1, {edition: 1_000_000, rules: [{name: 'lost', then: {pool: 'nowhere', class: 'quick', repeatable: true}}]})},
		{name: 'was changed after it was sealed', toText: () => toSealed(current.text).text.replace('dvorana-a-1', 'dvorana-a-9')},
		{name: 'has lost its end', toText: () => toSealed(current.text).text.slice(0, -200)},
	];
	for (const {name, toText} of badEdits) {
		it(`stays when the next edit ${name}, and staff are told on every host`, async () => {
			const text = toText();
			// Staff repair it, and publish the bad one again by mistake.
			for (const turn of ['first', 'again']) {
				const {newer: good} = await putInForce();
				const revision = fleet.platform.publish('config', text);
				await waitUntilRefused(fleet.hosts, revision);
				for (const host of fleet.hosts) {
					const told = host.agent().logs().filter(line => line.message === 'configuration refused' && line.revision === revision);
					assert.equal(told.length, 1, `${host.id} logged ${told.length} refusals, ${turn}`);
				}

				await waitUntilSeen(good);
			}
		});
	}

	const halfEdits: Array<{name: string; toServed: (part: ConfigPart, other: ConfigPart) => string | undefined}> = [
		{name: 'is missing', toServed: () => undefined},
		{name: 'is cut off', toServed: ({text}) => text.slice(0, -20)},
		{name: 'is another one', toServed: (_, {text}) => text},
	];
	for (const {name, toServed} of halfEdits) {
		it(`stays while a part of the next edit ${name}, which staff are told on every host, and follows once it is there`, async t => {
			const {newer: good} = await putInForce();
			const {parts, ...next} = toSealedParts();
			const late = parts.find(part => part.name === 'rules-001')!;
			const others = parts.filter(part => part !== late);
			const served = toServed(late, others[0]!);
			publishParts(others);
			if (served !== undefined) {
				fleet.platform.publish(toPartKey(late), served);
			}

			const {revision} = publish(next);
			await waitUntilRefused(fleet.hosts, revision);
			for (const host of fleet.hosts) {
				const {refused} = await readStatus(host);
				assert.equal(refused?.kind, 'parts-missing');
				assert.ok(refused.reason.includes(`${late.name} under ${toPartKey(late)}`), refused.reason);
			}

			// A replaced host asks its peers and the platform, and gets what is in force.
			await restart(fleet.hosts.slice(0, 1));
			await waitUntilSeen(good);
			publishParts([late]);
			current = {...next, revision, at: performance.now()};
			const spread = await waitUntilSeen(current);
			t.diagnostic(`in force everywhere ${Math.max(...spread)} ms after the part was there`);
		});
	}

	it('stays and reaches replaced hosts although the platform has lost a part of it', async () => {
		await putInForce();
		const {parts, ...next} = toSealedParts();
		publishParts(parts);
		current = publish(next);
		await waitUntilSeen(current);
		fleet.platform.publish(toPartKey(parts.find(part => part.name === 'rules-001')!), 'lost');
		await restart(ofZone(near));
		await waitUntil(async () => {
			const markers = await Promise.all(ofZone(near).map(async host => readMarker(host)));
			return markers.every(found => found === next.marker);
		}, {deadlineMs, what: 'the document from peers'});
		await waitUntilSeen(current);
	});

	for (const faults of [{down: true}, {garbage: true}]) {
		it(`stays and reaches a replaced host while the platform is ${faults.down ? 'down' : 'answering garbage'}`, async () => {
			const {newer} = await putInForce();
			fleet.platform.setFaults(faults);
			const [host] = fleet.hosts as [FleetHost, ...FleetHost[]];
			await restart([host]);
			await waitUntil(async () => await readMarker(host) === newer.marker, {deadlineMs, what: 'the document from a peer'});
			await waitUntilSeen(newer);
		});
	}

	async function readWhileStarting(t: TestContext): Promise<void> {
		const {newer} = await putInForce();
		await Promise.all(fleet.hosts.map(async host => host.kill()));
		const before = fleet.platform.judge().reads;
		const until = performance.now() + startWindowMs;
		const perSecond: number[] = [];
		const starting = Promise.all(fleet.hosts.map(async host => host.start()));
		for (let counted = before; performance.now() < until;) {
			await sleep(1000);
			const {reads} = fleet.platform.judge();
			perSecond.push(reads - counted);
			counted = reads;
		}

		await starting;
		await waitUntil(async () => {
			const markers = await Promise.all(fleet.hosts.map(async host => readMarker(host)));
			return markers.every(found => found === newer.marker);
		}, {deadlineMs, what: 'the document on all hosts'});
		const byHost = await Promise.all(fleet.hosts.map(async host => readMetric(host, 'platform_reads_total')));
		const reads = perSecond.reduce((sum, count) => sum + count, 0);
		t.diagnostic(`${reads} reads in ${startWindowMs} ms by ${fleet.hosts.length} hosts that started together, by second ${perSecond.join(' ')}; by their own count ${byHost.join(' ')}`);
		assert.ok(reads > 0);
		assert.ok(reads <= startReadsOfHost * fleet.hosts.length, `${reads} reads`);
		assert.equal(fleet.platform.judge().rejectedReads, 0);
	}

	it('is read within the budget when all hosts start together', readWhileStarting);

	it('came in force on all hosts each time', t => {
		const sorted = spreadMs.toSorted((a, b) => a - b);
		t.diagnostic(`${sorted.length} spreads to one host: median ${sorted[Math.floor(sorted.length / 2)]} ms, longest ${sorted.at(-1)} ms`);
		assert.ok(sorted.length > 0);
	});
});
