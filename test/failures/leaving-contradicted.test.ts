/*
 * A server refuses all work as leaving, and its load reports, which are on time,
 * go on saying that it serves. Were the newer report believed, every host would
 * offer it work again each second, and each caller would lose a try. A healthy
 * server that refused once by mistake has to come back by itself.
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

/** Time in which reports contradict the refusal. */
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
		it(`gets nothing new but a rare probe: a ${role} engine`, async t => {
			const engine = fleet.engine(`${zone}-${role}-1`);
			const load = loads.start(fleet.hosts, `${role} contradicts itself`);
			await waitUntil(() => load.results.length > 20, {deadlineMs, what: 'some load'});
			engine.setFaults({refuse: {reason: 'leaving', on: ['reservations', 'prefills']}});
			await waitUntilKnownAsLeaving(fleet, engine.id);
			await sleep(200);
			const offers = countOffers(engine);
			const answered = load.results.length;
			await sleep(contradictionMs);
			const offered = countOffers(engine) - offers;
			t.diagnostic(`${load.results.length - answered} letters in ${contradictionMs} ms after all knew, ${offered} offers; reported ${await readReportedState(engine)}`);
			assert.ok(load.results.length > answered, 'no load came after all knew');
			assert.ok(offered <= 2, `${offered} offers to a server that refuses all`);
			engine.setFaults({});
			const endedAt = performance.now();
			await waitUntil(() => countOffers(engine) > offers + offered + 3, {deadlineMs, what: 'work for the server that accepts it again'});
			t.diagnostic(`used again ${Math.round(performance.now() - endedAt)} ms after it accepted work again`);
			await load.end();
			assert.deepEqual(load.results.filter(({isWhole}) => !isWhole), []);
		});
	}

	it('is used again soon when it refused once by mistake', async t => {
		// Not the one of the case before, which is asked more rarely for a minute.
		const engine = fleet.engine(`${zone}-decode-2`);
		const load = loads.start(fleet.hosts, 'mistake');
		await waitUntil(() => load.results.length > 20, {deadlineMs, what: 'some load'});
		engine.setFaults({refuse: {reason: 'leaving', on: ['reservations'], times: 1}});
		const {allMs} = await waitUntilKnownAsLeaving(fleet, engine.id);
		await sleep(200);
		const offers = countOffers(engine);
		await waitUntil(() => countOffers(engine) > offers + 3, {deadlineMs, what: 'work for the server again'});
		t.diagnostic(`used again ${Math.round(performance.now() - allMs)} ms after all knew`);
		await load.end();
		assert.deepEqual(load.results.filter(({isWhole}) => !isWhole), []);
	});
});
