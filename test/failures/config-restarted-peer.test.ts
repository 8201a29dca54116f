/*
 * Callers of a replaced host are answered by an edition from before the one that
 * they saw. The agent of its peer restarts as well, takes up what that host's
 * entry still holds from before a long pause, and tells it on before either of
 * them has heard the platform. A host that has forgotten everything took the
 * first edition that it was told. Proof: what its callers see never goes back.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {type FleetHost} from '../_lib/start-fleet/index.js';
import {useConfigFleet} from './_lib/start-config-fleet.js';

/** Long enough for a replaced host to have heard its peer. */
const platformDownMs = 1500;

describe('a replaced host beside a restarted agent', () => {
	const config = useConfigFleet();

	it('does not take what the agent has from its entry alone', async () => {
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
