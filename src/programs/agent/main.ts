#!/usr/bin/env node
/** `banyanport-agent`: reads the platform, keeps in touch with peers, and feeds its host's entry. */
import {createEngineHttp} from '../../adapters/engine-http/index.js';
import {createLog} from '../../adapters/log/index.js';
import {createPlatformHttp} from '../../adapters/platform-http/index.js';
import {loadSettings} from '../../adapters/settings/index.js';
import {startAgent} from './_lib/start-agent.js';
import {agentSettings, type AgentSettings} from './settings.js';

const program = 'banyanport-agent';

async function run(settings: AgentSettings) {
	const log = createLog({
		level: settings.logLevel, program, host: settings.hostId, zone: settings.zone, incarnation: Date.now(),
	});
	const agent = await startAgent({
		settings,
		clock: {wallNow: () => Date.now(), now: () => performance.now()},
		random: Math.random,
		platform: createPlatformHttp({url: settings.platformUrl}),
		toEngine: server => createEngineHttp({server}),
		log,
	});
	log.info('listening', {peerPort: agent.peerPort});

	async function stop(signal: NodeJS.Signals) {
		log.info('stopping', {signal});
		await agent.stop();
		await log.flush(1000);
		process.exit(0);
	}

	process.once('SIGTERM', signal => {
		void stop(signal);
	});
	process.once('SIGINT', signal => {
		void stop(signal);
	});
}

const loaded = loadSettings(agentSettings, {
	program, description: 'Reads the platform, keeps in touch with peers, and feeds its host\'s entry.', argv: process.argv.slice(2), env: process.env,
});
if (loaded.kind === 'exit') {
	process.stdout.write(loaded.stdout);
	process.stderr.write(loaded.stderr);
	process.exitCode = loaded.code;
} else {
	await run(loaded.settings.values);
}
