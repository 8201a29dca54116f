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
import {runUntilStopped} from '../_run/index.js';
import {type Entry} from './start-entry/index.js';
import {startFleetEntry} from './start-fleet-entry/index.js';

const program = 'banyanport-entry';

async function start(settings: EntrySettings, log: Log): Promise<Entry> {
	const metrics = createMetrics();
	addProcessMetrics(metrics);
	const keys = await loadProgramKeys(settings, {log, metrics});
	return startFleetEntry({
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
			// No idle timeout here: the run has a stall timeout, which takes the rule's target and pauses of this process into account.
			server, connectTimeoutMs: settings.engineConnectTimeout, streamIdleMs: 0, ...hooks,
		}),
	});
}

const loaded = loadSettings(entrySettings, {
	program, description: 'Serves callers: matches a rule, picks servers, relays the answer.', argv: process.argv.slice(2), env: process.env, otherTables: [agentSettings], check: checkEntrySettings,
});
if (loaded.kind === 'exit') {
	process.stdout.write(loaded.stdout);
	process.stderr.write(loaded.stderr);
	process.exitCode = loaded.code;
} else {
	const {values} = loaded.settings;
	const log = createLog({
		level: values.logLevel, program, host: values.hostId, zone: values.zone, incarnation: Date.now(),
	});
	await runUntilStopped(log, async () => start(values, log));
}
