import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {errAsync, okAsync} from 'neverthrow';
import {toNamed, toPart} from '../../../domain/_test/to-part-document.js';
import {toPartKey} from '../../../domain/to-part-key/index.js';
import {type PlatformFailure, type PlatformKey} from '../../../ports/platform.js';
import {createPartReader, type ReadPartsOptions} from './read-parts.js';
import {type ReadPace} from './to-read-pace.js';

const parts = Array.from({length: 5}, (_, i) => toPart(`part-${i}`, `text ${i}`));
const named = toNamed(parts);
const isAlways = () => true;
const overloaded: PlatformFailure = {kind: 'overloaded', message: 'budget spent'};

function createReader(values: ReadonlyMap<string, string>, options: Partial<ReadPartsOptions> = {}, failAt = Infinity) {
	const reads: PlatformKey[] = [];
	const reader = createPartReader({
		platform: {
			read(key) {
				reads.push(key);
				const value = values.get(key);
				return reads.length === failAt ? errAsync(overloaded) : okAsync(value === undefined ? undefined : {revision: 1, value});
			},
		},
		isReader: () => true,
		pace: () => ({readsWithoutGap: 2, gapMs: 50}),
		onRead() {}, // eslint-disable-line @typescript-eslint/no-empty-function -- reads are counted here
		onFailure() {}, // eslint-disable-line @typescript-eslint/no-empty-function -- the result tells
		random: () => 0,
		signal: new AbortController().signal,
		...options,
	});
	return {reader, reads};
}

const all = new Map(parts.map(part => [toPartKey(part) as string, part.text]));

describe('createPartReader', () => {
	it('reads missing parts and finds them by digest', async () => {
		const {reader, reads} = createReader(all);
		assert.equal(await reader.read(named, isAlways), true);
		assert.deepEqual(reads, named.map(part => toPartKey(part)));
		assert.deepEqual(named.map(part => reader.toText(part)), parts.map(({text}) => text));
	});

	it('reads only the remaining parts after a failure of the platform', async () => {
		const {reader, reads} = createReader(all, {}, 3);
		assert.equal(await reader.read(named, isAlways), false);
		assert.equal(reads.length, 3);
		assert.equal(await reader.read(named, isAlways), true);
		assert.deepEqual(reads.slice(3), named.slice(2).map(part => toPartKey(part)));
	});

	it('reads a truncated part again', async () => {
		const values = new Map([...all].map(([key, text]) => [key, text.slice(0, -1)]));
		const {reader} = createReader(values);
		await reader.read(named, isAlways);
		values.set(toPartKey(named[0]!), parts[0]!.text);
		assert.equal(await reader.read(named, isAlways), true);
		assert.deepEqual(named.map(part => reader.toText(part) !== undefined), [true, false, false, false, false]);
	});

	it('drops parts that are no longer asked for', async () => {
		const {reader} = createReader(all);
		await reader.read(named, isAlways);
		await reader.read(named.slice(0, 1), isAlways);
		assert.deepEqual(named.map(part => reader.toText(part) !== undefined), [true, false, false, false, false]);
	});

	it('completes although parts are missing, and stops reading when many are missing', async () => {
		const {reader, reads} = createReader(new Map());
		const many = toNamed(Array.from({length: 40}, (_, i) => toPart(`p${i}`, `t${i}`)));
		assert.equal(await reader.read(many, isAlways), true);
		assert.equal(reads.length, 16);
	});

	for (const [what, isOfHost] of [['this host is no longer a reader', true], ['the parts are no longer wanted', false]] as const) {
		it(`stops once ${what}`, async () => {
			let left = 2;
			const isLeft = () => {
				left -= 1;
				return left >= 0;
			};

			const {reader, reads} = createReader(all, isOfHost ? {isReader: isLeft} : {});
			assert.equal(await reader.read(named, isOfHost ? isAlways : isLeft), false);
			assert.equal(reads.length, 2);
		});
	}

	it('leaves the gap of its pace between reads, after those without a gap', async () => {
		const measure = async (pace: ReadPace) => {
			const {reader} = createReader(all, {pace: () => pace, random: () => 0.5});
			const startedAt = performance.now();
			await reader.read(named, isAlways);
			return performance.now() - startedAt;
		};

		assert.ok(await measure({readsWithoutGap: 2, gapMs: 50}) >= 140);
		assert.ok(await measure({readsWithoutGap: 0, gapMs: 333}) >= 1500);
	});
});
