import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {addProcessMetrics, createMetrics, latencyBoundsMs} from './index.js';

function readSamples(text: string): Map<string, number> {
	const lines = text.split('\n').filter(line => line !== '' && !line.startsWith('#'));
	return new Map(lines.map(line => [line.slice(0, line.lastIndexOf(' ')), Number(line.slice(line.lastIndexOf(' ') + 1))]));
}

describe('createMetrics', () => {
	it('exposes counters and gauges, and series of closed sets from the start', () => {
		const metrics = createMetrics();
		const requests = metrics.createCounter({name: 'requests_total', help: 'Requests taken.', labels: {class: ['quick', 'batch']}});
		requests.add({class: 'quick'}, 2);
		requests.bind({class: 'quick'})();
		metrics.createGauge({name: 'queued', help: 'Waiting.'}).set({}, 4);
		metrics.createSampledGauge({name: 'age_ms', help: 'Age.', sample: () => Number.POSITIVE_INFINITY});
		metrics.createSampledCounter({name: 'reads_total', help: 'Reads.', sample: () => 7});
		assert.equal(metrics.toPrometheus(), [
			'# HELP banyanport_requests_total Requests taken.',
			'# TYPE banyanport_requests_total counter',
			'banyanport_requests_total{class="quick"} 3',
			'banyanport_requests_total{class="batch"} 0',
			'# HELP banyanport_queued Waiting.',
			'# TYPE banyanport_queued gauge',
			'banyanport_queued 4',
			'# HELP banyanport_age_ms Age.',
			'# TYPE banyanport_age_ms gauge',
			'banyanport_age_ms +Inf',
			'# HELP banyanport_reads_total Reads.',
			'# TYPE banyanport_reads_total counter',
			'banyanport_reads_total 7',
			'',
		].join('\n'));
	});

	it('counts label values above the limit as other, so that memory is bounded', () => {
		const metrics = createMetrics();
		const byRule = metrics.createCounter({name: 'by_rule_total', help: 'By rule.', labels: {rule: {max: 2}}});
		for (const rule of ['a', 'b"\\', 'c', 'd', 'a']) {
			byRule.add({rule});
		}

		const samples = [...readSamples(metrics.toPrometheus())];
		assert.deepEqual(samples, [
			['banyanport_by_rule_total{rule="a"}', 2],
			[String.raw`banyanport_by_rule_total{rule="b\"\\"}`, 1],
			['banyanport_by_rule_total{rule="other"}', 2],
		]);
	});

	it('exposes a histogram whose buckets add up, within its precision of two digits', () => {
		fc.assert(fc.property(fc.array(fc.double({min: 0, max: 1e7, noNaN: true}), {maxLength: 50}), values => {
			const metrics = createMetrics();
			const histogram = metrics.createHistogram({
				name: 'first_token_seconds', help: 'Time.', labels: {class: ['quick']}, bounds: latencyBoundsMs, scale: 0.001, step: 0.001,
			});
			for (const value of values) {
				histogram.record({class: 'quick'}, value);
			}

			const samples = readSamples(metrics.toPrometheus());
			assert.equal(samples.get('banyanport_first_token_seconds_count{class="quick"}'), values.length);
			assert.equal(samples.get('banyanport_first_token_seconds_bucket{class="quick",le="+Inf"}'), values.length);
			for (const bound of latencyBoundsMs) {
				const count = samples.get(`banyanport_first_token_seconds_bucket{class="quick",le="${Number((bound * 0.001).toPrecision(12))}"}`)!;
				const [least, most] = [0.98, 1.02].map(share => values.filter(value => value <= bound * share).length) as [number, number];
				assert.equal(count >= least && count <= Math.max(most, values.filter(value => value <= bound + 0.001).length), true);
			}
		}), {numRuns: 30});
	});

	it('ignores negative values and NaN, and records values above the largest as the largest', () => {
		const histogram = createMetrics().createHistogram({name: 'h', help: 'H.', bounds: [1, 10]});
		for (const value of [Number.NaN, -1, 5, Number.POSITIVE_INFINITY, 1e300]) {
			histogram.record({}, value);
		}

		assert.equal(histogram.quantile({}, 0.3), 5);
		assert.equal(Math.abs(histogram.quantile({}, 1) - 100) < 2, true);
	});

	it('refuses malformed names, names in use, and too many series at creation', () => {
		const metrics = createMetrics();
		metrics.createCounter({name: 'a', help: 'A.'});
		assert.throws(() => metrics.createCounter({name: 'a', help: 'A.'}), /exists already/);
		assert.throws(() => metrics.createCounter({name: 'A b', help: 'A.'}), /malformed/);
		assert.throws(() => metrics.createCounter({name: 'b', help: 'B.', labels: {workspace: {max: 18_000}, class: ['quick', 'batch']}}), /series/);
	});

	it('adds process metrics', () => {
		const metrics = createMetrics();
		addProcessMetrics(metrics);
		assert.equal(readSamples(metrics.toPrometheus()).get('banyanport_process_resident_memory_bytes')! > 0, true);
	});
});
