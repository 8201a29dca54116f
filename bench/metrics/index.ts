/**
 * Measures the cost of counters, histograms and log lines on the hot path of a request.
 */
import {createLog} from '../../src/adapters/log/index.js';
import {createMetrics, latencyBoundsMs} from '../../src/adapters/metrics/index.js';

const rounds = 5;
const callsPerRound = 1_000_000;
const nanosecondsPerCall = 1e6 / callsPerRound;

/** Runs the bench. Prints nanoseconds per call of the best and the worst round. */
export function runMetricsBench(): void {
	const metrics = createMetrics();
	const counter = metrics.createCounter({name: 'c', help: 'C.', labels: {class: ['quick', 'batch'], rule: {max: 300}}});
	const histogram = metrics.createHistogram({
		name: 'h', help: 'H.', labels: {class: ['quick', 'batch']}, bounds: latencyBoundsMs, step: 0.001, scale: 0.001,
	});
	const bound = counter.bind({class: 'quick', rule: 'r'});
	const record = histogram.bind({class: 'quick'});
	const sink = {write: () => true, writableLength: 0, on: () => undefined};
	const log = createLog({
		level: 'info', program: 'bench', host: 'a', zone: 'a', incarnation: 1, sink,
	});
	const requestLog = log.with({requestId: '01890000-0000-7000-8000-000000000000', attempt: 1, edition: 3});

	printCost('counter, bound', () => {
		bound();
	});
	printCost('counter, by labels', () => {
		counter.add({class: 'quick', rule: 'r'});
	});
	printCost('histogram, bound', i => {
		record(i % 2000);
	});
	printCost('histogram, by labels', i => {
		histogram.record({class: 'quick'}, i % 2000);
	});
	printCost('log line, level off', i => {
		requestLog.debug('step', () => ({offset: i}));
	});
	printCost('log line, level on, no I/O', i => {
		requestLog.info('step', {server: 's1', rule: 'r', offset: i});
	}, 20);
}

function printCost(name: string, call: (i: number) => void, fewer = 1): void {
	const costs: number[] = [];
	const calls = callsPerRound / fewer;
	for (let round = 0; round < rounds; round++) {
		const start = performance.now();
		for (let i = 0; i < calls; i++) {
			call(i);
		}

		costs.push((performance.now() - start) * nanosecondsPerCall * fewer);
	}

	console.log(`${name.padEnd(28)} best ${Math.min(...costs).toFixed(0)} ns, worst ${Math.max(...costs).toFixed(0)} ns of ${rounds} rounds of ${calls}`);
}
