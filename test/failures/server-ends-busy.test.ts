/** A request that ends servers which are busy with other requests, and is sent again by its callers. */
import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {maxLateRuns, startBusyFleet, type BusyFleet} from './_lib/busy-fleet.js';

let fleet: BusyFleet;

const toRepeats = {gapMs: 400, forMs: 12_000};

/** Sends the request again and again, and checks that few calls of it come later than hosts must know. */
async function checkLateRuns(report: (text: string) => void, options: Parameters<BusyFleet['repeat']>[0]): Promise<void> {
	await fleet.repeat(options);
	const {ended, lateRuns, sound, soundServed, soundQuarantined} = fleet.tally();
	report(`${ended} servers ended, ${lateRuns} late runs; ${soundServed} of ${sound} sound requests served, ${soundQuarantined} refused as the culprit`);
	assert.ok(ended >= 3, `only ${ended} servers ended`);
	assert.ok(lateRuns <= maxLateRuns, `${lateRuns} late runs`);
	assert.equal(soundQuarantined, 0);
}

describe('hosts as processes, whose busy servers end under a request', {timeout: 180_000}, () => {
	beforeEach(async () => {
		fleet = await startBusyFleet();
	});
	afterEach(async () => fleet.stop());

	// Guards against answers to other calls that are taken as proof that a server survived a run which it is still at work on.
	it('send it on no more, although servers answer others before they end', async t => {
		fleet.setEnds(() => true, 'lingers once-left');
		await checkLateRuns(text => {
			t.diagnostic(text);
		}, {...toRepeats, call: {leaveAfterMs: 250}});
	});

	it('send it on no more, when servers end at once', async t => {
		fleet.setEnds(() => true, 'closes');
		await checkLateRuns(text => {
			t.diagnostic(text);
		}, toRepeats);
	});

	// Guards against a request that is cleared by servers of another software version, which survive it.
	it('send it on no more, although servers of another software version survive it', async t => {
		fleet.setEnds(({version}) => version === 'v2', 'closes');
		await checkLateRuns(text => {
			t.diagnostic(text);
		}, toRepeats);
	});

	// Guards against a request that is cleared by each run that a server happens to survive.
	it('send it on no more, although each second run is survived', async t => {
		fleet.setEnds((_, run) => run % 2 === 0, 'closes');
		await checkLateRuns(text => {
			t.diagnostic(text);
		}, toRepeats);
	});
});
