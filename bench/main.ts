/**
 * Runs the benches named on the command line, or all of them. Each bench is a
 * folder here whose `index.ts` exports `run<Name>Bench`.
 *
 * Usage: `npm run bench -- placement admission`
 */
import process from 'node:process';

const benches = [
	'match-rule',
	'config-chunks',
	'config-reading',
	'config-changes',
	'placement',
	'admission',
	'claims',
	'membership',
	'zone-spread',
	'spill',
	'engine-stream',
	'relay',
	'metrics',
	'slo',
	'fleet',
	'capacity',
	'rollout',
	'split-pool',
	'lost-links',
	'stream-origins',
	'server-limits',
	'prompt-parts',
	'caller-waits',
] as const;

type BenchName = typeof benches[number];
type BenchModule = Record<string, (() => unknown) | undefined>;

function toFunctionName(name: BenchName): string {
	const words = name.split('-').map(word => `${word[0]!.toUpperCase()}${word.slice(1)}`);
	return `run${words.join('')}Bench`;
}

async function runBench(name: BenchName): Promise<void> {
	console.log(`\n== ${name}`);
	const loaded = await import(`./${name}/index.js`) as BenchModule;
	await loaded[toFunctionName(name)]?.();
}

const wanted = process.argv.slice(2);
const unknown = wanted.filter(name => !(benches as readonly string[]).includes(name));

if (unknown.length > 0) {
	console.error(`No bench named ${unknown.join(', ')}. Available: ${benches.join(', ')}.`);
	process.exit(2);
}

for (const name of benches.filter(name => wanted.length === 0 || wanted.includes(name))) {
	await runBench(name);
}
