/** Command line of the plain service: `--id desk-1 --port 0 --work-ms 5`. */
import {Command} from 'commander';
import {runStandIn} from '../_lib/run-stand-in.js';
import {startPlainStandIn} from './index.js';

const command = new Command('plain-stand-in')
	.option('--id <name>', 'name sent in its answers', 'plain')
	.option('--port <number>', '0 takes any free port', Number, 0)
	.option('--bind <ip>', 'address to listen on', '127.0.0.1')
	.option('--work-ms <number>', 'duration of a call in milliseconds', Number, 0)
	.parse();
const plain = await startPlainStandIn(command.opts());
runStandIn(plain);
