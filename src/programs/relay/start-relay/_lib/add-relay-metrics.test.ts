import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createMetrics} from '../../../../adapters/metrics/index.js';
import {addRelayMetrics} from './add-relay-metrics.js';

describe('addRelayMetrics', () => {
	it('exposes the number of known hosts, the age of the platform\'s last answer, and its resets', () => {
		const metrics = createMetrics();
		const known: {ageMs: number | undefined} = {ageMs: undefined};
		const counted = addRelayMetrics(metrics, {countHosts: () => 195, answerAgeMs: () => known.ageMs, lostPools: () => 2});
		assert.match(metrics.toPrometheus(), /hosts_known 195\n/v);
		assert.match(metrics.toPrometheus(), /pools_lost 2\n/v);
		assert.match(metrics.toPrometheus(), /platform_age_seconds -1\n/v);
		counted.noteReset();
		assert.match(metrics.toPrometheus(), /platform_resets_total 1\n/v);
		known.ageMs = 1500;
		assert.match(metrics.toPrometheus(), /platform_age_seconds 1\.5\n/v);
	});
});
