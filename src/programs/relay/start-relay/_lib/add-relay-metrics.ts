/** Metrics of a relay's knowledge about the fleet, and of its age. */
import {type Metrics} from '../../../../adapters/metrics/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {msPerSecond} from '../../../../ports/units.js';

export type RelayMetricSources = {
	/** Number of hosts known to be alive, including this one. */
	countHosts: () => number;
	/** Time since the platform answered a read; `undefined` before the first. */
	answerAgeMs: () => Milliseconds | undefined;
	/** Number of pools of which this host reaches no server, although other hosts do. */
	lostPools: () => number;
};

/** Shown until the platform has answered once. */
const noAnswer = -1;

/**
 * Adds the metrics of a relay.
 *
 * @param metrics - Registry of the process.
 * @param sources - Functions called at each scrape.
 * @returns Function to call when the platform has come back from an older copy.
 */
export function addRelayMetrics(metrics: Metrics, {countHosts, answerAgeMs, lostPools}: RelayMetricSources): {noteReset: () => void} {
	metrics.createSampledGauge({name: 'hosts_known', help: 'Hosts known to this one, including itself; the retry budget is divided by this number.', sample: countHosts});
	metrics.createSampledGauge({
		name: 'platform_age_seconds',
		help: 'Time since the platform answered a read; -1 before the first.',
		sample() {
			const ageMs = answerAgeMs();
			return ageMs === undefined ? noAnswer : ageMs / msPerSecond;
		},
	});
	metrics.createSampledGauge({name: 'pools_lost', help: 'Pools of which this host reaches no server, although other hosts do.', sample: lostPools});
	const resetCounter = metrics.createCounter({name: 'platform_resets_total', help: 'Times that the platform came back from an older copy.'});
	return {
		noteReset() {
			resetCounter.add({});
		},
	};
}
