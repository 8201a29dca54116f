#!/usr/bin/env node
/** `banyanport-entry`: serves callers. */
import {createEngineHttp} from '../../adapters/engine-http/index.js';
import {createLog, type Log} from '../../adapters/log/index.js';
import {addProcessMetrics, createMetrics} from '../../adapters/metrics/index.js';
import {loadSettings} from '../../adapters/settings/index.js';
import {
	agentSettings, checkEntrySettings, entrySettings, type EntrySettings,
} from '../_settings/index.js';
import {loadProgramKeys} from '../_operations/index.js';
import {startEntry, type Entry} from './start-entry/index.js';

const program = 'banyanport-entry';
const logFlushMs = 1000;
/** Exit codes: wrong settings end with 2 as well. */
const startFailureCode = 2;
const abandonedCode = 1;

async function startOrExit(settings: EntrySettings, log: Log): Promise<Entry> {
	const metrics = createMetrics();
	addProcessMetrics(metrics);
	const keys = await loadProgramKeys(settings, {log, metrics});
	try {
		return await startEntry({
			settings,
			clock: {wallNow: () => Date.now(), now: () => performance.now()},
			random: Math.random,
			log,
			metrics,
			keys: keys.match(value => value, reason => {
				throw new Error(reason);
			}),
			clockBoundMs: settings.clockBound,
			createEngine: (server, hooks) => createEngineHttp({
				// The silence of a stream is bounded by its run, which knows the rule's target and pauses of this process.
				server, connectTimeoutMs: settings.engineConnectTimeout, streamIdleMs: 0, ...hooks,
			}),
		});
	} catch (error) {
		log.error('cannot start', {reason: error instanceof Error ? error.message : String(error)});
		await log.flush(logFlushMs);
		process.exit(startFailureCode);
	}
}

async function run(settings: EntrySettings): Promise<void> {
	const log = createLog({
		level: settings.logLevel, program, host: settings.hostId, zone: settings.zone, incarnation: Date.now(),
	});
	const entry = await startOrExit(settings, log);
	log.info('listening', {callerPort: entry.callerPort, peerPort: entry.peerPort, operatorPort: entry.operatorPort});
	let isStopping = false;
	let isAbandoned = false;

	async function exit(code: number): Promise<void> {
		await log.flush(logFlushMs);
		process.exit(code);
	}

	async function stop(signal: NodeJS.Signals): Promise<void> {
		if (isStopping) {
			isAbandoned = true;
			for (const requestId of await entry.abandon()) {
				log.error('abandoned', {requestId, signal});
			}

			await exit(abandonedCode);
			return;
		}

		isStopping = true;
		log.info('stopping', {signal});
		await entry.stop();
		if (!isAbandoned) {
			log.info('stopped', {signal});
			await exit(0);
		}
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
