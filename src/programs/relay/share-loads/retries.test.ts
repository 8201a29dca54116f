/*
 * Guards against hosts that together exceed the retry budget of a service: hosts
 * that have just started, that replace a host which spent its share, or that are
 * cut off from others.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type RetryLimits} from '../../../domain/to-retry-share/index.js';
import {msPerSecond} from '../../../ports/units.js';
import {checkRetries} from './_test/check-retries.js';
import {createRetryTraffic, windowMs} from './_test/create-retry-traffic.js';
import {retryScenarios} from './_test/retry-scenarios.js';
import {startHosts} from './_test/start-hosts.js';

describe('retries of all hosts together', () => {
	for (const [hosts, retrySlack] of [[7, 54], [74, 188]] as const) {
		for (const scenario of retryScenarios) {
			for (const failShare of [1, 0.4]) {
				for (const isShared of [false, true]) {
					it(`stay within the ratio and the slack at ${hosts} hosts ${scenario.name}, ${failShare} of the calls failing, ${isShared ? 'a part shared' : 'each with an equal part'}`, async t => {
						await checkRetries(t, scenario, {
							hosts, retrySlack, failShare, isShared,
						});
					});
				}
			}
		}
	}
});

/*
 * Guards against callers who are refused for want of a retry while other hosts leave
 * theirs unspent: for some seconds two of five calls fail on all of some sixty hosts,
 * of which each sees a few.
 */
describe('a burst of failed calls on many hosts', () => {
	const limits: RetryLimits = {retryRatio: 0.2, retrySlack: 156, retryWindow: windowMs};

	async function play(seed: number, isShared: boolean): Promise<{deniedShare: number; excess: number}> {
		const fleet = await startHosts(58);
		fleet.pass(15 * msPerSecond);
		const traffic = createRetryTraffic(fleet, limits, {failShare: 0.4, isShared, seed});
		for (let second = 0; second < 15; second++) {
			traffic.succeed(1);
			traffic.idle(msPerSecond);
		}

		for (let i = 0; i < 6; i++) {
			traffic.pass(msPerSecond);
			traffic.pass(msPerSecond);
			traffic.succeed(1);
		}

		return {deniedShare: 1 - (traffic.sent() / traffic.failed()), excess: traffic.toMaxExcess()};
	}

	it('is retried more often when the hosts share a part of the retries', async t => {
		for (const seed of [1, 2, 3]) {
			const [equal, shared] = [await play(seed, false), await play(seed, true)];
			t.diagnostic(`seed ${seed}: ${(100 * equal.deniedShare).toFixed(1)} % denied with equal parts, ${(100 * shared.deniedShare).toFixed(1)} % with a shared part`);
			assert.ok(shared.deniedShare < equal.deniedShare / 2, `${shared.deniedShare} and ${equal.deniedShare} denied`);
			assert.ok(Math.max(equal.excess, shared.excess) <= 0);
		}
	});
});
