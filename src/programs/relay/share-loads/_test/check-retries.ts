import assert from 'node:assert/strict';
import {type TestContext} from 'node:test';
import {createRetryTraffic, windowMs} from './create-retry-traffic.js';
import {type RetryScenario} from './retry-scenarios.js';
import {startHosts} from './start-hosts.js';

export type RetryCourse = {hosts: number; retrySlack: number; failShare: number; isShared: boolean};

/**
 * Plays a scenario, and checks that the hosts together stay within the retries that
 * they may make, and make use of them.
 *
 * @param t - Context of the test.
 * @param scenario - What happens.
 * @param course - Number of hosts, retries beyond the ratio, share of the calls that fail, and whether hosts share a part of the retries.
 */
export async function checkRetries(t: TestContext, {run}: RetryScenario, {hosts, retrySlack, failShare, isShared}: RetryCourse): Promise<void> {
	const fleet = await startHosts(hosts);
	const traffic = createRetryTraffic(fleet, {retryRatio: 0.2, retrySlack, retryWindow: windowMs}, {failShare, isShared});
	await run(fleet, traffic);
	t.diagnostic(`${traffic.sent()} retries, ${Math.round(-traffic.toMaxExcess())} left in the worst window`);
	assert.ok(traffic.toMaxExcess() <= 0, `${traffic.toMaxExcess()} too many`);
	assert.ok(traffic.sent() >= hosts, `${traffic.sent()} by ${hosts} hosts: too careful`);
}
