/** Metrics of what a relay knows, and how old it is. */
import {type Metrics} from '../../../../adapters/metrics/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {msPerSecond} from '../../../../ports/units.js';

export type RelayMetricSources = {
	/** Hosts that are known to live, with this one. */
	countHosts: () => number;
	/** Time since the platform answered a read; `undefined` before the first. */
	answerAgeMs: () => Milliseconds | undefined;
};

/** Shown until the platform has answered once. */
const noAnswer = -1;

/**
 * @param metrics - Registry of the process.
 * @param knowledge - Asked at each exposure.
 * @returns What counts.
 */
export function addRelayMetrics(metrics: Metrics, {countHosts, answerAgeMs}: RelayMetricSources): {noteReset: () => void} {
	metrics.createSampledGauge({name: 'hosts_known', help: 'Hosts that this one knows, with itself; each takes its part of the retries by it.', sample: countHosts});
	metrics.createSampledGauge({
		name: 'platform_age_seconds',
		help: 'Time since the platform answered a read; -1 before the first.',
		sample() {
			const ageMs = answerAgeMs();
			return ageMs === undefined ? noAnswer : ageMs / msPerSecond;
		},
	});
	const resetCounter = metrics.createCounter({name: 'platform_resets_total', help: 'Times that the platform came back from an older copy.'});
	return {
		noteReset() {
			resetCounter.add({});
		},
	};
}
