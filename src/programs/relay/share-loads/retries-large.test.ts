/*
 * Guards against hosts that together exceed the retry budget of a service: hosts
 * that have just started, that replace a host which spent its share, or that are
 * cut off from others.
 */
import {describe, it} from 'node:test';
import {checkRetries} from './_test/check-retries.js';
import {retryScenarios} from './_test/retry-scenarios.js';

describe('retries of all hosts of a large fleet together', () => {
	for (const [hosts, retrySlack] of [[195, 430]] as const) {
		for (const scenario of retryScenarios) {
			for (const failShare of [1]) {
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
