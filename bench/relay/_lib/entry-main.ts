/** Process that runs an entry with a fixed view and reports its CPU time and memory on request. */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {createEngineHttp} from '../../../src/adapters/engine-http/index.js';
import {createLog} from '../../../src/adapters/log/index.js';
import {createMetrics} from '../../../src/adapters/metrics/index.js';
import {parseSettings} from '../../../src/adapters/settings/index.js';
import {parseConfig} from '../../../src/domain/parse-config/index.js';
import {type LoadReport} from '../../../src/ports/engine.js';
import {type FleetView} from '../../../src/ports/view.js';
import {entrySettings} from '../../../src/programs/_settings/index.js';
import {startFleetEntry} from '../../../src/programs/entry/start-fleet-entry/index.js';

export type EntryStart = {
	configText: string;
	loads: readonly LoadReport[];
};

export type EntryUsage = {
	atMs: number;
	/** User and system time of all threads. */
	cpuMs: number;
	/** Heap in use after a garbage collection. */
	heapBytes: number;
	/** Buffers outside the heap. */
	externalBytes: number;
	rssBytes: number;
};

function toView({configText, loads}: EntryStart): FleetView {
	const config = parseConfig(configText)._unsafeUnwrap();
	return {
		accepted: {version: {edition: 1, revision: 1, digest: 'd'}, config, text: configText},
		hosts: new Map(),
		servers: new Map(loads.map(load => [load.server, {
			id: load.server, leaving: false, load, loadAt: performance.now(), reachable: true,
		}])),
		platformConfirmedAt: performance.now(),
		receivedAt: performance.now(),
	};
}

function toUsage(): EntryUsage {
	const {user, system} = process.cpuUsage();
	globalThis.gc?.();
	const {heapUsed, external, rss} = process.memoryUsage();
	return {
		atMs: performance.now(), cpuMs: (user + system) / 1000, heapBytes: heapUsed, externalBytes: external, rssBytes: rss,
	};
}

async function run(start: EntryStart): Promise<void> {
	const parsed = parseSettings(entrySettings, {argv: ['--host-id', 'z-1', '--zone', 'z', '--agent-address', '127.0.0.1:1'], env: {}});
	const entry = await startFleetEntry({
		settings: {
			...parsed._unsafeUnwrap().values, callerPort: 0, peerPort: 0, operatorPort: 0, drainDelay: 0, maxInFlight: 20_000, maxConnections: 20_000,
		},
		clock: {wallNow: () => Date.now(), now: () => performance.now()},
		random: Math.random,
		log: createLog({
			level: 'info', program: 'banyanport-entry', host: 'z-1', zone: 'z', incarnation: 1,
		}),
		metrics: createMetrics(),
		createEngine: server => createEngineHttp({server, connections: 10_000}),
		connectView({onView}) {
			// Repeats the view, as an agent does, so that the load reports stay fresh.
			onView(toView(start));
			const timer = setInterval(() => {
				onView(toView(start));
			}, 1000);
			return {
				view: () => toView(start),
				isConnected: () => true,
				reportLeaving: () => undefined,
				reportStopping: () => undefined,
				async close() {
					clearInterval(timer);
				},
			};
		},
	});
	process.send!({callerPort: entry.callerPort});
}

process.on('message', message => {
	if (message === 'usage') {
		process.send!({usage: toUsage()});
	} else {
		void run(message as EntryStart);
	}
});
process.on('disconnect', () => {
	process.exit(0);
});
