/** Starts one deployment: real agents and entries as processes, stand-in servers in threads, the platform stand-in in this thread. */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import {type ServerEntry} from '../../../src/ports/config.js';
import {createHost, type FleetHost} from '../../../test/_lib/start-fleet/_lib/create-host.js';
import {pickPort} from '../../../test/_lib/pick-port/index.js';
import {toConfigText} from '../../../test/_lib/start-fleet/_lib/to-config-text.js';
import {waitUntil} from '../../../test/_lib/wait-until/index.js';
import {startPlatformStandIn} from '../../../test/stand-ins/platform/index.js';
import {
	decodeMsPerToken, kvBytesPerToken, kvLifeMs, linkBytesPerMs, placesPerDecodeServer, prefillTokensPerMs,
} from '../../admission/_lib/fleets.js';
import {
	deskSlots, deskTarget, deskWorkMs, type RunPlan, slowFactor, timeScale,
} from './plan.js';
import {
	type JudgedPrefills, type ServersCall, type ServersListening, type ServerSpec,
} from './servers-worker.js';

export type BenchDeployment = {
	hosts: readonly FleetHost[];
	/** Returns the counts of all stand-in engines since the last call. */
	judge: () => Promise<JudgedPrefills>;
	/** Kills all hosts and servers of the second zone at the same time. */
	loseZone: () => Promise<void>;
	stop: () => Promise<void>;
};

const model = 'post-summary';
const version = 'v1';
const reportLagMs = 500;
const pollIntervalMs = 1000;
/** Shortest poll interval that the agent accepts, in unscaled milliseconds. */
const shortestPollMs = 50;

type Entry = {entry: Omit<ServerEntry, 'url'>; spec: ServerSpec};

function toEngine(plan: RunPlan, id: string, zone: string, role: 'prefill' | 'decode'): Entry {
	const isSlow = plan.fault === 'slow server' && id === `${plan.fleet.zones[0]}-decode-1`;
	const slots = role === 'prefill' ? 1 : placesPerDecodeServer;
	return {
		entry: {
			id, zone, role, slots, pool: plan.fleet.table.pools[0]!.name, checksFence: true,
		},
		spec: {
			kind: 'engine', options: {
				id, role, model, version, slots, timeScale, prefillTokensPerSecond: prefillTokensPerMs * 1000,
				decodeTokensPerSecond: 1000 / decodeMsPerToken / (isSlow ? slowFactor : 1),
				kvTtlMs: kvLifeMs, linkBytesPerSecond: linkBytesPerMs * 1000, bytesPerPromptToken: kvBytesPerToken,
				loadLagMs: plan.isInstant ? 0 : reportLagMs, stepMs: 15,
			},
		},
	};
}

function toDesk(id: string, zone: string): Entry {
	return {
		entry: {
			id, zone, role: 'plain', pool: 'desk', slots: deskSlots, checksFence: false,
		},
		spec: {kind: 'plain', options: {id, workMs: deskWorkMs / timeScale}},
	};
}

function toServers(plan: RunPlan): Entry[] {
	const {zones, prefills, decodes, desks} = plan.fleet;
	const entries: Entry[] = [];
	for (const [index, zone] of zones.entries()) {
		for (let i = 1; i <= prefills[index]!; i++) {
			entries.push(toEngine(plan, `${zone}-prefill-${i}`, zone, 'prefill'));
		}

		for (let i = 1; i <= decodes[index]!; i++) {
			entries.push(toEngine(plan, `${zone}-decode-${i}`, zone, 'decode'));
		}

		for (let i = 1; i <= desks[index]!; i++) {
			entries.push(toDesk(`${zone}-desk-${i}`, zone));
		}
	}

	return entries;
}

async function startServers(specs: readonly ServerSpec[]) {
	const worker = new Worker(new URL('servers-worker.js', import.meta.url), {workerData: specs});
	const answers = new Map<number, (result: unknown) => void>();
	let calls = 0;
	const [urls] = await once(worker, 'message') as [ServersListening];
	worker.on('message', ({id, result}: {id: number; result: unknown}) => {
		answers.get(id)?.(result);
		answers.delete(id);
	});
	return {
		urls,
		async call(call: ServersCall['call'], servers?: readonly string[]): Promise<unknown> {
			calls++;
			const id = calls;
			return new Promise(resolve => {
				answers.set(id, resolve);
				worker.postMessage({id, call, ...(servers !== undefined && {servers})} satisfies ServersCall);
			});
		},
		terminate: async () => worker.terminate(),
	};
}

function toMs(ms: number): string {
	return `${Math.round(ms / timeScale)}ms`;
}

function toDocument(plan: RunPlan, servers: readonly ServerEntry[], hosts: ReadonlyArray<{id: string; zone: string}>): string {
	const {table, zones} = plan.fleet;
	const {name} = table.pools[0]!;
	const toRoute = (pool: string, serviceClass: 'quick' | 'batch', {firstTokenMs, completeMs}: {firstTokenMs: number; completeMs: number}) => ({
		pool, class: serviceClass, repeatable: true, target: {firstToken: toMs(firstTokenMs), complete: toMs(completeMs)},
	});
	return toConfigText({
		zones: zones.map(id => ({id, region: 'si-central'})), hosts, servers, model, version, adapters: [],
	}, {
		pools: [{
			name, model, version, adapters: [], classes: ['quick', 'batch'],
		}, {name: 'desk', kind: 'plain', classes: ['quick', 'batch']}],
		routes: {
			desk: toRoute('desk', 'quick', deskTarget), question: toRoute(name, 'quick', table.shapes.quick), letter: toRoute(name, 'batch', table.shapes.batch),
		},
		rules: [
			{name: 'desk lookups', when: {path: '/desk/'}, then: 'desk'},
			{name: 'questions', when: {model, class: 'quick'}, then: 'question'},
			{name: 'letters', when: {model}, then: 'letter'},
			{name: 'everything else', then: 'desk'},
		],
	});
}

/** Network options that load the modules of the baseline into the programs and change nothing else. */
const baseline: Parameters<typeof createHost>[0]['network'] = {
	site: {names: [], localAddress: '127.0.0.1'},
	network: {
		addSite: () => ({names: [], localAddress: '127.0.0.1'}),
		addTarget: async () => undefined,
		toProcessOptions: () => ({env: {}, nodeOptions: ['--import', new URL('baseline-register.js', import.meta.url).href]}),
		toUrl: url => url,
		cut: () => undefined,
		isolate: () => undefined,
		heal: () => undefined,
		stop: async () => undefined,
	},
};

async function startHosts(plan: RunPlan, ids: ReadonlyArray<{id: string; zone: string}>, platformUrl: string): Promise<FleetHost[]> {
	const hosts: FleetHost[] = [];
	for (const {id, zone} of ids) {
		hosts.push(await createHost({
			id, zone, platformUrl, seeds: () => hosts.map(({agentAddress}) => agentAddress), entryFlags: {}, entryClock: {}, network: plan.isBaseline ? baseline : undefined,
			agentFlags: {loadPollInterval: plan.isInstant ? `${shortestPollMs}ms` : toMs(pollIntervalMs)},
		}));
	}

	return hosts;
}

async function isServing(host: FleetHost): Promise<boolean> {
	try {
		const res = await fetch(`${host.callerUrl}/v1/models`, {signal: AbortSignal.timeout(2000)});
		await res.text();
		return res.status === 200;
	} catch {
		return false;
	}
}

/**
 * Starts a deployment and waits until every entry serves requests.
 *
 * @param plan - Any of the runs that share the deployment.
 * @returns Running deployment; `stop` ends all its processes and threads.
 */
export async function startBenchFleet(plan: RunPlan): Promise<BenchDeployment> {
	const {zones} = plan.fleet;
	const entries = toServers(plan);
	const workers = await Promise.all(zones.map(async zone => startServers(entries.filter(({entry}) => entry.zone === zone).map(({spec}) => spec))));
	const ids = Array.from({length: plan.hosts}, (_, index) => ({id: `${zones[index % zones.length]}-${1 + Math.floor(index / zones.length)}`, zone: zones[index % zones.length]!}));
	const urls = Object.assign({}, ...workers.map(worker => worker.urls)) as ServersListening;
	const servers = entries.map(({entry}) => ({...entry, url: urls[entry.id]!}));
	const platform = await startPlatformStandIn({port: await pickPort(), config: toDocument(plan, servers, ids)});
	const hosts = await startHosts(plan, ids, platform.url);
	platform.publishFleet({
		hosts: hosts.map(({id, agentAddress}) => ({id, state: 'live', peerAddress: agentAddress})),
		servers: servers.map(({id}) => ({id, state: 'live'})),
	});
	const stop = async (): Promise<void> => {
		await Promise.all(hosts.map(async host => host.kill()));
		await Promise.all(workers.map(async worker => worker.call('stop')));
		await Promise.all(workers.map(async worker => worker.terminate()));
		await platform.stop();
	};

	try {
		await Promise.all(hosts.map(async host => host.start()));
		await waitUntil(async () => {
			const states = await Promise.all(hosts.map(async host => isServing(host)));
			return states.every(Boolean);
		}, {deadlineMs: 30_000, what: 'a 200 from /v1/models of each entry', everyMs: 50});
	} catch (error) {
		await stop();
		throw error;
	}

	return {
		hosts,
		async judge() {
			const counted = await Promise.all(workers.map(async worker => worker.call('judge') as Promise<JudgedPrefills>));
			return {
				started: counted.flatMap(({started}) => started), wasted: counted.flatMap(({wasted}) => wasted), busy: Math.max(...counted.map(({busy}) => busy)),
			};
		},
		async loseZone() {
			const lost = zones[1];
			await Promise.all([
				...hosts.filter(({zone}) => zone === lost).map(async host => host.kill()),
				workers[1]!.call('crash', servers.filter(({zone}) => zone === lost).map(({id}) => id)),
			]);
		},
		stop,
	};
}
