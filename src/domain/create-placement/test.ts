import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ServerEntry} from '../../ports/config.js';
import {type ServerStatus} from '../../ports/view.js';
import {
	toConfig, toPlacementRequest, toReport, toSeededRandom, toServer, toStatus, toView,
} from './_lib/fixtures.js';
import {createPlacement, type PassedOverReason} from './index.js';

const prefills = ['p1', 'p2'].map(id => toServer(id, 'prefill'));
const decodes = ['d1', 'd2'].map(id => toServer(id, 'decode'));
const servers = [...prefills, ...decodes];
const random = toSeededRandom(1);

const toDecider = (draws = Infinity) => createPlacement({zone: 'a', draws});

const toFleet = (changes: Readonly<Record<string, Partial<ServerStatus>>> = {}, entries: readonly ServerEntry[] = servers) =>
	toView(toConfig(entries), entries.map(entry => ({...toStatus(entry, 1000), ...changes[entry.id]})));

const toLoad = (entry: ServerEntry | undefined, change: Parameters<typeof toReport>[1]) => ({load: toReport(entry!, change)});

describe('createPlacement', () => {
	it('picks a prefill and a decode server of the pool', () => {
		const placement = toDecider().pick(toPlacementRequest(), toFleet(), 1000, random)._unsafeUnwrap();
		assert.equal(placement.prefill.role, 'prefill');
		assert.equal(placement.decode.role, 'decode');
		assert.ok(placement.reservationTtlMs > placement.predictedFirstTokenMs);
	});

	const rows: Array<[string, Partial<ServerStatus>, PassedOverReason]> = [
		['leaving by the list', {leaving: true}, 'leaving'],
		['leaving by its own report', toLoad(decodes[0], {state: 'leaving'}), 'leaving'],
		['unreachable', {reachable: false}, 'unreachable'],
		['loading weights', toLoad(decodes[0], {state: 'loading'}), 'not-serving'],
		['changed to another role', toLoad(decodes[0], {role: 'prefill'}), 'wrong-role'],
		['with another model', toLoad(decodes[0], {model: 'other'}), 'wrong-model'],
		['full', toLoad(decodes[0], {slotsUsed: 20}), 'full'],
	];
	for (const [name, change, reason] of rows) {
		it(`never picks a server that is ${name}, and says so`, () => {
			const decider = toDecider();
			for (let i = 0; i < 50; i++) {
				const placement = decider.pick(toPlacementRequest(), toFleet({d1: change}), 1000, random)._unsafeUnwrap();
				assert.equal(placement.decode.id, 'd2');
				assert.deepEqual(placement.account().passedOver.find(row => row.server === 'd1'), {server: 'd1', reason});
			}
		});
	}

	it('keeps serving during a rollout, and pairs only servers of the same version', () => {
		const mixed = toFleet({p1: toLoad(prefills[0], {version: 'v0'}), d2: toLoad(decodes[1], {version: 'v0'})});
		const decider = toDecider(2);
		const pairs = new Set<string>();
		for (let i = 0; i < 100; i++) {
			const {prefill, decode, version} = decider.pick(toPlacementRequest(), mixed, 1000, random)._unsafeUnwrap();
			pairs.add(`${prefill.id} ${decode.id} ${version}`);
		}

		assert.deepEqual([...pairs].toSorted((a, b) => a < b ? -1 : 1), ['p1 d2 v0', 'p2 d1 v1']);
	});

	it('gives a request only the version that it asks for', () => {
		const mixed = toFleet({p1: toLoad(prefills[0], {version: 'v0'}), d2: toLoad(decodes[1], {version: 'v0'})});
		const placement = toDecider().pick(toPlacementRequest({version: 'v0'}), mixed, 1000, random)._unsafeUnwrap();
		assert.deepEqual([placement.prefill.id, placement.decode.id], ['p1', 'd2']);
		assert.deepEqual(placement.account().counts, {'wrong-version': 2});
		assert.equal(toDecider().pick(toPlacementRequest({version: 'v9'}), mixed, 1000, random)._unsafeUnwrapErr().reason, 'no-server');
	});

	it('picks a server with the requested adapter', () => {
		const change = {d2: toLoad(decodes[1], {adapters: ['legal']}), p2: toLoad(prefills[1], {adapters: ['legal']})};
		const placement = toDecider().pick(toPlacementRequest({adapter: 'legal'}), toFleet(change), 1000, random)._unsafeUnwrap();
		assert.deepEqual([placement.prefill.id, placement.decode.id], ['p2', 'd2']);
	});

	it('honours the servers that a request excludes', () => {
		const refusal = toDecider().pick(toPlacementRequest({exclude: new Set(['p1', 'p2'])}), toFleet(), 1000, random)._unsafeUnwrapErr();
		assert.equal(refusal.reason, 'no-server');
		assert.equal(refusal.account().counts.excluded, 2);
	});

	it('spreads a burst over servers although their reports do not change', () => {
		const decider = toDecider();
		const counts = new Map<string, number>();
		for (let i = 0; i < 20; i++) {
			const placement = decider.pick(toPlacementRequest({firstTokenBudgetMs: 60_000}), toFleet(), 1000, random)._unsafeUnwrap();
			decider.noteDispatched(placement, 1000);
			counts.set(placement.prefill.id, (counts.get(placement.prefill.id) ?? 0) + 1);
		}

		assert.deepEqual([...counts.values()], [10, 10]);
	});

	it('refuses for lack of memory once its own requests fill the slots that the reports show as free', () => {
		const decider = toDecider();
		const view = toFleet({d1: toLoad(decodes[0], {slotsUsed: 19}), d2: toLoad(decodes[1], {slotsUsed: 19})});
		const taken = [1, 2].map(() => {
			const placement = decider.pick(toPlacementRequest(), view, 1000, random)._unsafeUnwrap();
			decider.noteDispatched(placement, 1000);
			return placement;
		});
		const refusal = decider.pick(toPlacementRequest(), view, 1000, random)._unsafeUnwrapErr();
		assert.equal(refusal.reason, 'no-memory');
		decider.noteFinished(taken[0]!, 1001);
		assert.ok(decider.pick(toPlacementRequest(), view, 1002, random).isOk());
	});

	it('refuses at once a request that would miss its target, with the time until it could meet it', () => {
		const slow = Object.fromEntries(prefills.map(entry => [entry.id, toLoad(entry, {queuedTokens: 80_000})]));
		const refusal = toDecider().pick(toPlacementRequest({firstTokenBudgetMs: 1000}), toFleet(slow), 1000, random)._unsafeUnwrapErr();
		assert.equal(refusal.reason, 'would-miss-target');
		assert.ok(refusal.retryAfterMs > 8000 && refusal.retryAfterMs < 12_000);
	});

	it('works without any report', () => {
		const silent = Object.fromEntries(servers.map(entry => [entry.id, {load: undefined, loadAt: 0, reachable: undefined}]));
		assert.ok(toDecider().pick(toPlacementRequest(), toFleet(silent), 1000, random).isOk());
	});

	it('works when every report is stale', () => {
		assert.ok(toDecider().pick(toPlacementRequest(), toFleet(), 1_000_000, random).isOk());
	});

	it('keeps serving when polls suddenly reach no server', () => {
		const lost = Object.fromEntries(servers.map(entry => [entry.id, {reachable: false, reachableAt: 1000}]));
		const decider = toDecider();
		assert.ok(decider.pick(toPlacementRequest(), toFleet(), 1000, random).isOk());
		assert.ok(decider.pick(toPlacementRequest(), toFleet(lost), 1001, random).isOk());
	});

	it('retries a server whose unreachable report is old, when no other server has room', () => {
		// The full server's report stays recent; with a stale one the full server would sometimes be picked too.
		const pick = (now: number) => {
			const d2 = {...toLoad(decodes[1], {slotsUsed: 20}), loadAt: now};
			return toDecider().pick(toPlacementRequest(), toFleet({d1: {reachable: false, reachableAt: 1000}, d2}), now, random);
		};

		assert.equal(pick(2000)._unsafeUnwrapErr().reason, 'no-memory');
		assert.equal(pick(5900)._unsafeUnwrapErr().reason, 'no-memory');
		for (let i = 0; i < 50; i++) {
			assert.equal(pick(6001 + i)._unsafeUnwrap().decode.id, 'd1');
		}
	});

	it('refuses with no-config before a configuration is accepted, and with no-pool for an unknown pool', () => {
		const view = toFleet();
		assert.equal(toDecider().pick(toPlacementRequest(), {...view, accepted: undefined}, 1000, random)._unsafeUnwrapErr().reason, 'no-config');
		assert.equal(toDecider().pick(toPlacementRequest({pool: 'none'}), view, 1000, random)._unsafeUnwrapErr().reason, 'no-pool');
	});

	it('sends no new request to a server that refused as leaving', () => {
		const decider = toDecider();
		decider.noteFailure(decodes[0]!, {kind: 'refused', reason: 'leaving'}, 1000);
		for (let i = 0; i < 50; i++) {
			assert.equal(decider.pick(toPlacementRequest(), toFleet(), 1000 + i, random)._unsafeUnwrap().decode.id, 'd2');
		}
	});

	it('does not count a prompt whose prefill was cancelled, or was not sent because the reservation was refused', () => {
		const entries = [prefills[0]!, decodes[0]!];
		for (const {sent, queuedTokens} of [{sent: [27_500], queuedTokens: 27_500}, {sent: Array.from({length: 10}, () => 2000), queuedTokens: 0}]) {
			const decider = toDecider();
			for (const promptTokens of sent) {
				const placement = decider.pick(toPlacementRequest({promptTokens, firstTokenBudgetMs: 30_000}), toFleet({}, entries), 1000, random)._unsafeUnwrap();
				decider.noteDispatched(placement, 1000);
				decider.noteFinished(placement, 1900);
			}

			// A report from before the cancellation still counts the prompt.
			const view = toFleet({p1: {...toLoad(prefills[0], {queuedTokens}), loadAt: 1500}}, entries);
			assert.ok(decider.pick(toPlacementRequest(), view, 1950, random)._unsafeUnwrap().predictedFirstTokenMs < 500);
		}
	});
});
