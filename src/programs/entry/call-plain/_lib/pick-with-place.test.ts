import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {err, ok, type Result} from 'neverthrow';
import {type PlacementRefusal, type PlainPlacement} from '../../../../domain/create-placement/index.js';
import {pickWithPlace} from './pick-with-place.js';
import {type PlainRun} from './types.js';

type Known = {id: string; cooldown?: 0 | 1 | 2; count?: number; isSilent?: boolean};

const slots = 6;

/** Picks with these servers, the best first; returns the picked one and the questions, of which forced ones end with `!`. */
async function play(servers: readonly Known[], tried: readonly string[] = []) {
	const asked: string[] = [];
	let left = 0;
	const run = {
		tried: tried.map(server => ({server, zone: 'a'})),
		ctx: {
			places: {
				async take({id}: {id: string}, {isForced}: {isForced: boolean}) {
					asked.push(isForced ? `${id}!` : id);
					const {count = 0, isSilent = false} = servers.find(server => server.id === id)!;
					return isSilent
						? undefined
						: {
							isTaken: isForced || count < slots, count, leave() {
								left++;
							},
						};
				},
			},
		},
	} as unknown as PlainRun;
	const placed = await pickWithPlace(run, (exclude): Result<PlainPlacement, PlacementRefusal> => {
		const found = servers.find(({id}) => !exclude.has(id));
		return found === undefined ? err({reason: 'no-server'} as PlacementRefusal) : ok({kind: 'plain', server: {id: found.id, slots}, cooldown: found.cooldown ?? 0} as unknown as PlainPlacement);
	});
	if (placed.isOk()) {
		placed.value.leave();
	}

	await new Promise(resolve => {
		setImmediate(resolve);
	});
	return {server: placed.map(({picked}) => picked.server.id).unwrapOr('none'), asked, left};
}

describe('pickWithPlace', () => {
	const full = {count: slots};
	const cases: ReadonlyArray<[string, readonly Known[], {server: string; asked: string[]; left: number}]> = [
		['takes the best server with a free place', [{id: 'a'}, {id: 'b'}], {server: 'a', asked: ['a'], left: 1}],
		['takes the next one if the best is full', [{id: 'a', ...full}, {id: 'b'}], {server: 'b', asked: ['a', 'b'], left: 1}],
		['takes the one with fewer requests if both are full', [{id: 'a', count: 9}, {id: 'b', count: 7}], {server: 'b', asked: ['a', 'b', 'b!'], left: 1}],
		['asks no third one', [{id: 'a', ...full}, {id: 'b', ...full}, {id: 'c'}], {server: 'a', asked: ['a', 'b', 'a!'], left: 1}],
		['takes the only one although it is full', [{id: 'a', ...full}], {server: 'a', asked: ['a', 'a!'], left: 1}],
		['takes a server whose keeper does not answer', [{id: 'a', isSilent: true}, {id: 'b'}], {server: 'a', asked: ['a'], left: 0}],
		['takes the next one if its keeper does not answer', [{id: 'a', ...full}, {id: 'b', isSilent: true}], {server: 'b', asked: ['a', 'b'], left: 0}],
		['finds none', [], {server: 'none', asked: [], left: 0}],
		// Guards against lookups that are sent over a cut, because the servers on this side of it are full.
		['stays at a full server if the next one is in cooldown', [{id: 'a', ...full}, {id: 'b', cooldown: 1}], {server: 'a', asked: ['a', 'a!'], left: 1}],
		['takes the next one if both are in cooldown', [{id: 'a', ...full, cooldown: 2}, {id: 'b', cooldown: 1}], {server: 'b', asked: ['a', 'b'], left: 1}],
	];
	for (const [name, servers, expected] of cases) {
		it(name, async () => {
			assert.deepEqual(await play(servers), expected);
		});
	}

	it('passes over servers that failed the request', async () => {
		const {server} = await play([{id: 'a'}, {id: 'b'}], ['a']);
		assert.equal(server, 'b');
	});

	it('takes the best server where places are not counted', async () => {
		const run = {tried: [], ctx: {places: undefined}} as unknown as PlainRun;
		const placed = await pickWithPlace(run, () => ok({kind: 'plain', server: {id: 'a', slots}, cooldown: 0} as unknown as PlainPlacement));
		const {picked, leave} = placed._unsafeUnwrap();
		assert.equal(picked.server.id, 'a');
		leave();
	});
});
