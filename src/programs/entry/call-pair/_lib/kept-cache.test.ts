import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ok, ResultAsync} from 'neverthrow';
import {type PromptCache} from '../../../../ports/server-calls.js';
import {type PlainRun} from '../../call-plain/_lib/types.js';
import {type PlainFault} from '../../send-plain/index.js';
import {
	dropKeptCache, hasKeptCache, isCacheLeft, takeKeptCache,
} from './kept-cache.js';

const cache = {server: {id: 'prefill1'}, kvId: 'kv-1', computedAt: 1000} as unknown as PromptCache;

/** A request that keeps a cache, at the given time, and the caches that were freed. */
function createRun(now: number, kept: PromptCache | undefined = cache) {
	const freed: string[] = [];
	const run = {
		kept,
		ctx: {
			serverLimits: {isLimited: () => false},
			services: {clock: {now: () => now}, placement: {isPaused: () => false}},
			calls: {
				caches: {
					dropCache({kvId}: PromptCache) {
						freed.push(kvId);
						return new ResultAsync(Promise.resolve(ok()));
					},
				},
			},
		},
	} as unknown as PlainRun;
	return {run, freed};
}

describe('takeKeptCache', () => {
	it('takes a young cache once, and frees nothing', () => {
		const {run, freed} = createRun(1350);
		assert.ok(hasKeptCache(run));
		assert.equal(takeKeptCache(run), cache);
		assert.equal(takeKeptCache(run), undefined);
		assert.deepEqual(freed, []);
	});

	it('frees an old cache, which its server may have freed already', () => {
		const {run, freed} = createRun(1351);
		assert.ok(!hasKeptCache(run));
		assert.equal(takeKeptCache(run), undefined);
		assert.deepEqual(freed, ['kv-1']);
	});
});

describe('dropKeptCache', () => {
	it('frees the cache once', () => {
		const {run, freed} = createRun(1100);
		dropKeptCache(run);
		dropKeptCache(run);
		assert.deepEqual(freed, ['kv-1']);
		assert.ok(!hasKeptCache(run));
	});
});

describe('isCacheLeft', () => {
	const cases: ReadonlyArray<[PlainFault, boolean]> = [
		[{kind: 'unreachable', message: ''}, true],
		[{kind: 'refused', reason: 'wrong-model', message: ''}, true],
		[{kind: 'refused', reason: 'leaving', message: ''}, true],
		[{kind: 'refused', reason: 'full', message: ''}, false],
		[{kind: 'broken', message: ''}, false],
		[{kind: 'aborted', message: ''}, false],
		[{kind: 'invalid', message: ''}, false],
	];
	for (const [fault, isLeft] of cases) {
		const reason = fault.kind === 'refused' ? `, ${fault.reason}` : '';
		it(`is ${isLeft} after a call that was ${fault.kind}${reason}`, () => {
			assert.equal(isCacheLeft(fault), isLeft);
		});
	}
});
