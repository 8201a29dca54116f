#!/usr/bin/env -S node --max-old-space-size=40 --max-semi-space-size=1 --single-threaded-gc --v8-pool-size=1 --liftoff-only
/** `banyanport-agent`: reads the platform, exchanges state with agents of other hosts, and feeds its host's entry. */
import {ResultAsync} from 'neverthrow';
import {createEngineHttp} from '../../adapters/engine-http/index.js';
import {createLog, type Log} from '../../adapters/log/index.js';
import {addProcessMetrics, createMetrics, type Metrics} from '../../adapters/metrics/index.js';
import {createPlatformHttp} from '../../adapters/platform-http/index.js';
import {loadSettings} from '../../adapters/settings/index.js';
import {createEngines} from '../_engines/index.js';
// Imported without the folder's index, which also loads the burn report: the agent's memory must stay small.
import {loadProgramKeys} from '../_operations/load-program-keys.js';
import {startOperations} from '../_operations/start-operations.js';
import {
	agentSettings, checkAgentSettings, entrySettings, type AgentSettings,
} from '../_settings/index.js';
import {startAgent, type Agent} from './_lib/start-agent.js';
import {toStatus} from './_lib/to-status.js';

const program = 'banyanport-agent';
const logFlushMs = 1000;
const operatorCloseMs = 500;

/** Logs an error that names the remedy, and ends the process. */
async function fail(log: Log, message: string): Promise<never> {
	log.error(message);
	await log.flush(logFlushMs);
	process.exit(1);
}

function addAgentMetrics(metrics: Metrics, agent: Agent): void {
	const counters = {
		platform_reads_total: ['Reads of the platform, watches included.', () => agent.counts().platformReads],
		orphans_released_total: ['Attempts of ended hosts that were released on servers.', () => agent.counts().orphansReleased],
		configs_refused_total: ['Different configuration documents that were refused.', () => agent.counts().configsRefused],
		orders_given_total: ['Orders that servers took from this host.', () => agent.counts().ordersGiven],
		peer_sent_bytes_total: ['Bytes sent to agents of other hosts.', () => agent.counts().sentBytes],
		peer_received_bytes_total: ['Bytes received from agents of other hosts.', () => agent.counts().receivedBytes],
	} as const;
	const gauges = {
		peer_connections: ['Open connections to agents of other hosts.', () => agent.counts().connections],
		config_edition: ['Edition of the configuration in force.', () => agent.view().accepted?.version.edition ?? 0],
		config_revision: ['Revision of the configuration in force.', () => agent.view().accepted?.version.revision ?? 0],
		host_name_twin: ['Whether another live agent runs under this host\'s name: 1 or 0.', () => agent.twin() === undefined ? 0 : 1],
		zone_summaries: ['Other zones of which this host has a summary that can be believed; 0 in a fleet of up to 40 hosts.', () => agent.view().zones?.size ?? 0],
		orders_stuck: ['Groups of orders that wait for staff; see heldOrders in the status.', () => agent.heldOrders().filter(({isStuck}) => isStuck).length],
		platform_confirmed_age_seconds: ['Age of the platform\'s last confirmation; -1 if there was none.', () => toStatus(agent.view(), performance.now()).platformConfirmedAgeMs / 1000],
	} as const;
	for (const [name, [help, sample]] of Object.entries(counters)) {
		metrics.createSampledCounter({name, help, sample});
	}

	for (const [name, [help, sample]] of Object.entries(gauges)) {
		metrics.createSampledGauge({name, help, sample});
	}
}

async function run(settings: AgentSettings): Promise<void> {
	const log = createLog({
		level: settings.logLevel, program, host: settings.hostId, zone: settings.zone, incarnation: Date.now(),
	});
	const metrics = createMetrics();
	addProcessMetrics(metrics);
	const loadedKeys = await loadProgramKeys(settings, {log, metrics});
	if (loadedKeys.isErr()) {
		return fail(log, loadedKeys.error);
	}

	const keys = loadedKeys.value;
	const engines = createEngines(server => createEngineHttp({server}));
	const started = await ResultAsync.fromPromise(startAgent({
		settings,
		clock: {wallNow: () => Date.now(), now: () => performance.now()},
		random: Math.random,
		platform: createPlatformHttp({url: settings.platformUrl}),
		toEngine: engines.toEngine,
		keepOnly: engines.keepOnly,
		log,
		tls: keys.peer,
	}), error => error instanceof Error ? error.message : String(error));
	if (started.isErr()) {
		return fail(log, `cannot listen for peers (${started.error}): stop the process that uses the port, most often another agent, or set another --peer-port or --bind`);
	}

	const agent = started.value;
	keys.onPeerKeys(agent.reloadKeys);
	addAgentMetrics(metrics, agent);
	const operator = await startOperations({
		settings,
		log,
		metrics,
		keys,
		notReadyReasons: agent.notReadyReasons,
		warnings: agent.warnings,
		status: () => ({
			...toStatus(agent.view(), performance.now()), ...agent.notices(), twin: agent.twin(), heldOrders: agent.heldOrders(), counts: agent.counts(),
		}),
	});
	if (operator.isErr()) {
		return fail(log, operator.error.message);
	}

	const operatorServer = operator.value;

	log.info('listening', {peerPort: agent.peerPort, operatorPort: operatorServer.port});
	if (settings.seeds.length === 0) {
		log.warn('no --seeds are set', {
			reason: 'after a restart this host accepts what the platform serves, even if its peers have a newer configuration', remedy: 'set --seeds to the peer ports of two agents in other zones',
		});
	}

	let isStopping = false;

	async function stop(signal: NodeJS.Signals) {
		if (isStopping) {
			process.exit(1);
		}

		isStopping = true;
		log.info('stopping', {signal});
		await Promise.all([agent.stop(), operatorServer.close(operatorCloseMs)]);
		log.info('stopped', {signal});
		await log.flush(logFlushMs);
		process.exit(0);
	}

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, name => {
			void stop(name);
		});
	}
}

const loaded = loadSettings(agentSettings, {
	program,
	description: 'Reads the platform, keeps in touch with peers, and feeds its host\'s entry.',
	argv: process.argv.slice(2),
	env: process.env,
	otherTables: [entrySettings],
	check: checkAgentSettings,
});
if (loaded.kind === 'exit') {
	process.stdout.write(loaded.stdout);
	process.stderr.write(loaded.stderr);
	process.exitCode = loaded.code;
} else {
	await run(loaded.settings.values);
}
