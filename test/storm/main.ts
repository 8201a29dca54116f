/** Command line of the storm: `npm run storm -- --seconds 120 --seed 7 --json out/storm.json`. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {Command, InvalidArgumentError} from 'commander';
import {runStorm, toReportText} from './index.js';

type Options = {seconds: number; seed: number; callers: number; faultEveryMs: number; json?: string; logs?: string};

const maxSeed = 1_000_000;

function parseCount(text: string): number {
	const value = Number(text);
	if (!Number.isInteger(value) || value < 1) {
		throw new InvalidArgumentError('must be a whole number of at least 1');
	}

	return value;
}

const command = new Command('storm')
	.option('--seconds <number>', 'length of the load', parseCount, 120)
	.option('--seed <number>', 'seed of all random draws', parseCount, 1 + Math.floor(Math.random() * maxSeed))
	.option('--callers <number>', 'callers at once', parseCount, 16)
	.option('--fault-every-ms <number>', 'mean time between two faults', parseCount, 800)
	.option('--logs <folder>', 'save faults and logs of all hosts there when a promise is broken')
	.option('--json <file>', 'also write the report as JSON')
	.parse();
const {seconds, seed, json, logs, ...options} = command.opts<Options>();
console.log(`seed ${seed}`);
const report = await runStorm({
	...options, seed, durationMs: seconds * 1000, onProgress: console.log, ...(logs !== undefined && {logFolder: logs}),
});
console.log(toReportText(report));
if (json === undefined) {
	console.log(JSON.stringify(report));
} else {
	writeFileSync(json, JSON.stringify(report, undefined, '\t') + '\n');
}

process.exit(report.isKept ? 0 : 1);
