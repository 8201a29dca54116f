#!/usr/bin/env node
/** `banyanport-entry`: serves callers. */
import {createEngineHttp} from '../../adapters/engine-http/index.js';
import {createLog} from '../../adapters/log/index.js';
import {addProcessMetrics, createMetrics} from '../../adapters/metrics/index.js';
import {loadSettings} from '../../adapters/settings/index.js';
import {
	agentSettings, checkEntrySettings, entrySettings, type EntrySettings,
} from '../_settings/index.js';
import {startEntry} from './start-entry/index.js';

const program = 'banyanport-entry';
const logFlushMs = 1000;

async function run(settings: EntrySettings): Promise<void> {
	const log = createLog({
		level: settings.logLevel, program, host: settings.hostId, zone: settings.zone, incarnation: Date.now(),
	});
	const metrics = createMetrics();
	addProcessMetrics(metrics);
	const entry = await startEntry({
		settings,
		clock: {wallNow: () => Date.now(), now: () => performance.now()},
		random: Math.random,
		log,
		metrics,
		createEngine: server => createEngineHttp({server, connectTimeoutMs: settings.engineConnectTimeout}),
	});
	log.info('listening', {callerPort: entry.callerPort, peerPort: entry.peerPort});
	let isStopping = false;

	async function exit(code: number): Promise<void> {
		await log.flush(logFlushMs);
		process.exit(code);
	}

	async function stop(signal: NodeJS.Signals): Promise<void> {
		if (isStopping) {
			for (const requestId of entry.abandon()) {
				log.error('abandoned', {requestId, signal});
			}

			await exit(1);
			return;
		}

		isStopping = true;
		log.info('stopping', {signal});
		await entry.stop();
		log.info('stopped', {signal});
		await exit(0);
	}

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, name => {
			void stop(name);
		});
	}
}

const loaded = loadSettings(entrySettings, {
	program, description: 'Serves callers: matches a rule, picks servers, relays the answer.', argv: process.argv.slice(2), env: process.env, otherTables: [agentSettings], check: checkEntrySettings,
});
if (loaded.kind === 'exit') {
	process.stdout.write(loaded.stdout);
	process.stderr.write(loaded.stderr);
	process.exitCode = loaded.code;
} else {
	await run(loaded.settings.values);
}
