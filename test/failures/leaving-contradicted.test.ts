/*
 * Guards against repeated offers to a server that refuses all work as leaving while
 * its load reports, which arrive on time, still say that it serves. If hosts
 * believed the newer report, each would offer the server work again every second,
 * and each of these requests would lose an attempt. A healthy server that refused
 * once by mistake has to be used again without intervention.
 */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	after, afterEach, before, describe, it,
} from 'node:test';
import {type Fleet} from '../_lib/start-fleet/index.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {createLoads} from './_lib/create-loads.js';
import {
	countOffers, deadlineMs, readReportedState, startLeavingServerFleet, waitUntilKnownAsLeaving, waitUntilNoneIsLeaving, zone,
} from './_lib/leaving-server-fleet.js';

/** How long the load reports contradict the refusals. */
const contradictionMs = 12_000;
const loads = createLoads();

describe('a server that refuses as leaving while its reports say that it serves', () => {
	let fleet: Fleet;

	before(async () => {
		fleet = await startLeavingServerFleet({engine: {loadLagMs: 100}});
	});
	afterEach(async () => {
		await loads.endAll();
		for (const engine of fleet.engines.values()) {
			engine.setFaults({});
		}

		await waitUntilNoneIsLeaving(fleet);
	});
	after(async () => {
		await fleet.stop();
	});

	for (const role of ['decode', 'prefill'] as const) {
		it(`is offered nothing but an occasional probe: a ${role} engine`, async t => {
			const engine = fleet.engine(`${zone}-${role}-1`);
			const load = loads.start(fleet.hosts, `${role} contradicts itself`);
			await waitUntil(() => load.results.length > 20, {deadlineMs, what: 'more than 20 answers'});
			engine.setFaults({refuse: {reason: 'leaving', on: ['reservations', 'prefills']}});
			await waitUntilKnownAsLeaving(fleet, engine.id);
			await sleep(200);
			const offers = countOffers(engine);
			const answered = load.results.length;
			await sleep(contradictionMs);
			const offered = countOffers(engine) - offers;
			t.diagnostic(`${load.results.length - answered} letters in ${contradictionMs} ms after all hosts knew, ${offered} offers; reported state ${await readReportedState(engine)}`);
			assert.ok(load.results.length > answered, 'no request ended after all hosts knew');
			assert.ok(offered <= 2, `${offered} offers to a server that refuses all work`);
			engine.setFaults({});
			const endedAt = performance.now();
			await waitUntil(() => countOffers(engine) > offers + offered + 3, {deadlineMs, what: 'offers to the server that accepts work again'});
			t.diagnostic(`used again ${Math.round(performance.now() - endedAt)} ms after it accepted work again`);
			await load.end();
			assert.deepEqual(load.results.filter(({isWhole}) => !isWhole), []);
		});
	}

	it('is used again soon after it refused once by mistake', async t => {
		// Another engine than in the test before: hosts probe that one less often for a minute.
		const engine = fleet.engine(`${zone}-decode-2`);
		const load = loads.start(fleet.hosts, 'mistake');
		await waitUntil(() => load.results.length > 20, {deadlineMs, what: 'more than 20 answers'});
		engine.setFaults({refuse: {reason: 'leaving', on: ['reservations'], times: 1}});
		const {allMs} = await waitUntilKnownAsLeaving(fleet, engine.id);
		await sleep(200);
		const offers = countOffers(engine);
		await waitUntil(() => countOffers(engine) > offers + 3, {deadlineMs, what: 'offers to the server after its mistaken refusal'});
		t.diagnostic(`used again ${Math.round(performance.now() - allMs)} ms after all hosts knew`);
		await load.end();
		assert.deepEqual(load.results.filter(({isWhole}) => !isWhole), []);
	});
});
