/** Command line of the engine stand-in: `--id e1 --role prefill --port 0 --model post-summary`, and each option by its kebab-case name. */
import {Command, Option} from 'commander';
import {runStandIn} from '../_lib/run-stand-in.js';
import {startEngineStandIn, type EngineStandInOptions} from './index.js';

const numeric = [
	'port',
	'slots',
	'prefill-concurrency',
	'prefill-tokens-per-second',
	'prefill-base-ms',
	'decode-tokens-per-second',
	'batch-slowdown',
	'kv-ttl-ms',
	'link-bytes-per-second',
	'bytes-per-prompt-token',
	'load-lag-ms',
	'cache-blocks',
	'cache-event-lag-ms',
	'cache-event-gap',
	'load-version-ms',
	'keep-answer-ms',
	'step-ms',
	'time-scale',
];

const command = new Command('engine-stand-in')
	.requiredOption('--id <name>')
	.addOption(new Option('--role <role>').choices(['prefill', 'decode']).makeOptionMandatory())
	.option('--model <name>')
	.option('--version-of-weights <name>')
	.option('--adapters <names>', 'separated by commas', (names: string) => names.split(',').filter(Boolean))
	.option('--bind <ip>')
	.option('--no-checks-fence', 'ignore fencing numbers');
for (const name of numeric) {
	command.option(`--${name} <number>`, 'see types.ts', Number);
}

command.parse();
const {versionOfWeights, ...options} = command.opts<EngineStandInOptions & {versionOfWeights?: string}>();
const engine = await startEngineStandIn({...options, ...(versionOfWeights === undefined ? {} : {version: versionOfWeights})});
runStandIn(engine);
