import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {type Metrics} from './index.js';

const microsecondsPerSecond = 1_000_000;

/**
 * Adds the metrics of the process itself, which every program exposes.
 *
 * @param metrics - Metrics to add to.
 */
export function addProcessMetrics(metrics: Metrics): void {
	let lastLoop = performance.eventLoopUtilization();
	metrics.createSampledGauge({name: 'process_resident_memory_bytes', help: 'Resident memory of the process.', sample: () => process.memoryUsage.rss()});
	metrics.createSampledGauge({name: 'process_heap_used_bytes', help: 'Heap in use.', sample: () => process.memoryUsage().heapUsed});
	metrics.createSampledGauge({name: 'process_uptime_seconds', help: 'Time since the process started.', sample: () => process.uptime()});
	metrics.createSampledCounter({
		name: 'process_cpu_seconds_total',
		help: 'Processor time used since the process started.',
		sample() {
			const {user, system} = process.cpuUsage();
			return (user + system) / microsecondsPerSecond;
		},
	});
	metrics.createSampledGauge({
		name: 'process_event_loop_utilization',
		help: 'Share of time that the event loop was busy since the last exposure.',
		sample() {
			const now = performance.eventLoopUtilization();
			const {utilization} = performance.eventLoopUtilization(now, lastLoop);
			lastLoop = now;
			return utilization;
		},
	});
}
