/** A request that ends servers which are busy with other requests, and is sent again by its callers. */
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {checkLateRuns, startBusyFleet, type BusyFleet} from './_lib/busy-fleet.js';

let fleet: BusyFleet;

const toRepeats = {gapMs: 400, forMs: 12_000};

describe('hosts as processes, whose busy servers end under a request', {timeout: 180_000}, () => {
	beforeEach(async () => {
		fleet = await startBusyFleet();
	});
	afterEach(async () => fleet.stop());

	// Guards against answers to other calls that are taken as proof that a server survived a run which it is still at work on.
	it('send it on no more, although servers answer others before they end', async t => {
		fleet.setEnds(() => true, 'lingers once-left');
		await checkLateRuns(t, fleet, {...toRepeats, call: {leaveAfterMs: 250}});
	});

	it('send it on no more, when servers end at once', async t => {
		fleet.setEnds(() => true, 'closes');
		await checkLateRuns(t, fleet, toRepeats);
	});

	// Guards against a request that is cleared by servers of another software version, which survive it.
	it('send it on no more, although servers of another software version survive it', async t => {
		fleet.setEnds(({version}) => version === 'v2', 'closes');
		await checkLateRuns(t, fleet, toRepeats);
	});

	// Guards against a request that is cleared by each run that a server happens to survive.
	it('send it on no more, although each second run is survived', async t => {
		fleet.setEnds((_, run) => run % 2 === 0, 'closes');
		await checkLateRuns(t, fleet, toRepeats);
	});
});
