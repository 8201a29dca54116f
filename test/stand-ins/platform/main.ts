/** Command line of the platform stand-in: `--port 0 --config-file rules.yaml --fleet-file fleet.json`. */
import {readFileSync} from 'node:fs';
import {Command} from 'commander';
import {runStandIn} from '../_lib/run-stand-in.js';
import {startPlatformStandIn} from './index.js';

const command = new Command('platform-stand-in')
	.option('--port <number>', '0 takes any free port', Number, 0)
	.option('--bind <ip>', 'address to listen on', '127.0.0.1')
	.option('--config-file <path>', 'document to publish at the start')
	.option('--fleet-file <path>', 'list of hosts and servers to publish at the start')
	.option('--reads-per-second <number>', 'budget over all readers', Number, 2000)
	.parse();
const {configFile, fleetFile, ...options} = command.opts<{
	port: number; bind: string; readsPerSecond: number; configFile?: string; fleetFile?: string;
}>();
const platform = await startPlatformStandIn(options);
if (configFile !== undefined) {
	platform.publish('config', readFileSync(configFile, 'utf8'));
}

if (fleetFile !== undefined) {
	platform.publish('fleet', readFileSync(fleetFile, 'utf8'));
}

runStandIn(platform);
