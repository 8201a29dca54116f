/**
 * Runs the measurements named on the command line, or all of them.
 *
 * Usage: `npm run bench -- placement admission`
 */
import process from 'node:process';

type Bench = {
	name: string;
	load: () => Promise<() => unknown>;
};

const benches: readonly Bench[] = [
	{name: 'match-rule', load: async () => (await import('./match-rule/index.js')).runMatchRuleBench},
	{name: 'placement', load: async () => (await import('./placement/index.js')).runPlacementBench},
	{name: 'admission', load: async () => (await import('./admission/index.js')).runAdmissionBench},
	{name: 'claims', load: async () => (await import('./claims/index.js')).runClaimsBench},
	{name: 'membership', load: async () => (await import('./membership/index.js')).runMembershipBench},
	{name: 'metrics', load: async () => (await import('./metrics/index.js')).runMetricsBench},
	{name: 'relay', load: async () => (await import('./relay/index.js')).runRelayBench},
	{name: 'capacity', load: async () => (await import('./capacity/index.js')).runCapacityBench},
];

const wanted = process.argv.slice(2);
const unknown = wanted.filter(name => !benches.some(bench => bench.name === name));

if (unknown.length > 0) {
	console.error(`No bench named ${unknown.join(', ')}. Write one of: ${benches.map(bench => bench.name).join(', ')}.`);
	process.exit(2);
}

for (const bench of benches.filter(bench => wanted.length === 0 || wanted.includes(bench.name))) {
	console.log(`\n== ${bench.name}`);
	const runBench = await bench.load();
	await runBench();
}
