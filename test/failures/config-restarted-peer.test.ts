/*
 * Guards against a replaced host that goes back to an older edition. While the
 * platform is down, the agent of a peer restarts, takes over an outdated edition
 * from its entry, which missed the newest one during a long pause, and passes it on
 * to the replaced host. The replaced host has no state and would accept the first
 * edition that it is sent. The test checks that its callers never see an older
 * edition after a newer one.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {type FleetHost} from '../_lib/start-fleet/index.js';
import {useConfigFleet} from './_lib/start-config-fleet.js';

/** Long enough for a replaced host to hear from its peer. */
const platformDownMs = 1500;

describe('a replaced host beside a restarted agent', () => {
	const config = useConfigFleet();

	it('does not accept an edition that the agent knows from its own entry alone', async () => {
		await config().putInForce();
		const [behind, replaced, ...others] = config().fleet.hosts as [FleetHost, FleetHost, ...FleetHost[]];
		behind.agent().pause();
		const newer = config().publishNext();
		await config().waitUntilSeen(newer, [replaced, ...others]);
		config().fleet.platform.setFaults({down: true});
		await Promise.all([replaced, ...others].map(async host => host.kill()));
		await behind.agent().kill();
		await Promise.all([behind.startAgent(), replaced.start()]);
		await sleep(platformDownMs);
		config().fleet.platform.setFaults({});
		await Promise.all(others.map(async host => host.start()));
		await config().waitUntilSeen(newer);
		config().assertNotReverted();
	});
});
