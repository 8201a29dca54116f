import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toNamed, toPart} from '../_test/to-part-document.js';
import {collectParts} from './index.js';

const one = toPart('one', 'čaka');
const two = toPart('two', 'two');

describe('collectParts', () => {
	it('takes parts that have the named digest and length, in the order of the lookups', () => {
		const {find, parts} = collectParts([two], ({name}) => name === 'one' ? one.text : undefined);
		for (const part of toNamed([one, two, one])) {
			assert.ok(find(part) !== undefined);
		}

		assert.deepEqual(parts(), [one, two]);
	});

	const wrong: Array<[title: string, held: Array<typeof one>, text: string | undefined, bytes: number]> = [
		['is missing', [], undefined, one.bytes],
		['has another text', [], 'čakz', one.bytes],
		['is cut off', [], 'čak', one.bytes],
		['has another length than the root says', [], one.text, 4],
		['is in force and has another length than the root says', [one], undefined, 4],
	];
	for (const [title, held, text, bytes] of wrong) {
		it(`does not find a part that ${title}`, () => {
			const {find, parts} = collectParts(held, () => text);
			assert.equal(find({name: 'one', sha256: one.sha256, bytes}), undefined);
			assert.deepEqual(parts(), []);
		});
	}

	it('takes a part in force under another name', () => {
		const {find, parts} = collectParts([one], () => undefined);
		assert.equal(find({...toNamed([one])[0]!, name: 'renamed'}), one.text);
		assert.equal(parts()[0]!.name, 'renamed');
	});
});
