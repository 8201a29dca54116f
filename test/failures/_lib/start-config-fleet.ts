/** A fleet whose configuration changes repeatedly, observed through the answers that callers get from each host. */
import assert from 'node:assert/strict';
import {after, afterEach, before} from 'node:test';
import {toPartKey} from '../../../src/domain/to-part-key/index.js';
import {type ConfigPart} from '../../../src/ports/config.js';
import {startFleet, type FleetHost} from '../../_lib/start-fleet/index.js';
import {waitUntil} from '../../_lib/wait-until/index.js';
import {createEditions, type Edition} from './create-editions.js';
import {readMarker, watchHosts} from './watch-hosts.js';

export const deadlineMs = 30_000;
export const near = 'dvorana-a';
export const far = 'dvorana-b';

/** An edition, its revision on the platform, and its time of publication in milliseconds of `performance.now()`. */
export type Published = Edition & {revision: number; at: number};

export async function readMetric(host: FleetHost, name: string): Promise<number> {
	const answer = await fetch(`${host.agentOperatorUrl}/metrics`, {signal: AbortSignal.timeout(2000)});
	const text = await answer.text();
	return Number(new RegExp(String.raw`${name}(?:\{[^}]*\})? (\d+)`).exec(text)?.[1] ?? Number.NaN);
}

type Status = {refused?: {revision: number; kind: string; reason: string}; warning?: string};

export async function readStatus(host: FleetHost): Promise<Status> {
	const answer = await fetch(`${host.agentOperatorUrl}/status`, {signal: AbortSignal.timeout(2000)});
	return await answer.json() as Status;
}

/** Starts a fleet with two zones of two hosts each, and publishes the first edition. */
export async function startConfigFleet() {
	const fleet = await startFleet({zones: [near, far], hostsPerZone: 2, isCuttable: true});
	const watch = watchHosts(fleet.hosts);
	const spreadMs: number[] = [];

	const editions = createEditions(fleet);
	let current = publish(editions.toSealed(undefined));

	function publishParts(parts: readonly ConfigPart[]): void {
		for (const part of parts) {
			fleet.platform.publish(toPartKey(part), part.text);
		}
	}

	function publish(document: Edition): Published {
		const at = performance.now();
		return {...document, revision: fleet.platform.publish('config', document.text), at};
	}

	function publishNext(): Published {
		current = publish(editions.toSealed(current.text));
		return current;
	}

	async function waitUntilSeen(wanted: Published, hosts: readonly FleetHost[] = fleet.hosts): Promise<number[]> {
		await waitUntil(() => hosts.every(host => watch.latest(host)?.marker === wanted.marker), {deadlineMs, what: `edition ${wanted.marker} on ${hosts.map(({id}) => id).join(', ')}`});
		return hosts.map(host => Math.round(watch.latest(host)!.at - wanted.at));
	}

	/** Publishes the next edition, waits until all hosts use it, and records how long that took. */
	async function putInForce(): Promise<{older: Published; newer: Published}> {
		const older = current;
		const newer = publishNext();
		spreadMs.push(...await waitUntilSeen(newer));
		return {older, newer};
	}

	/** Waits until the status of each of the hosts says that it refused the document of a revision. */
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

	/** Waits until a new request to each of the hosts shows the edition; observations from before a restart don't count. */
	async function waitUntilAnswered(hosts: readonly FleetHost[], {marker}: Edition, what: string): Promise<void> {
		await waitUntil(async () => {
			const markers = await Promise.all(hosts.map(async host => readMarker(host)));
			return markers.every(found => found === marker);
		}, {deadlineMs, what});
	}

	return {
		fleet,
		/** The edition that has to be in force on all hosts in the end. */
		current: () => current,
		setCurrent(published: Published): void {
			current = published;
		},
		...editions,
		publishParts,
		publish,
		publishNext,
		waitUntilSeen,
		waitUntilAnswered,
		putInForce,
		waitUntilRefused,
		restart,
		ofZone: (zone: string) => fleet.hosts.filter(host => host.zone === zone),
		/** Times from publication until a host used the edition, in milliseconds, one for each host and edition. */
		spreadMs: (): readonly number[] => spreadMs,
		assertNotReverted(): void {
			assert.deepEqual(watch.reverted(), []);
		},
		/** Ends all faults, publishes another edition and waits until it is in force on all hosts, and asserts that no host went back to an earlier edition. */
		async recover(): Promise<void> {
			fleet.network.heal();
			fleet.platform.setFaults({});
			await putInForce();
			assert.deepEqual(watch.reverted(), []);
		},
		async stop(): Promise<void> {
			await watch.end();
			await fleet.stop();
		},
	};
}

export type ConfigFleet = Awaited<ReturnType<typeof startConfigFleet>>;

/**
 * Starts a fleet for the tests of a suite, and ends all faults after each test.
 *
 * @returns A function that returns the fleet; call it within tests only.
 */
export function useConfigFleet(): () => ConfigFleet {
	let config: ConfigFleet;

	before(async () => {
		config = await startConfigFleet();
		await config.waitUntilSeen(config.current());
	});
	afterEach(async () => {
		await config.recover();
	});
	after(async () => {
		await config.stop();
	});
	return () => config;
}
