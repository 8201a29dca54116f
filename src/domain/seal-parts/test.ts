import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {findAmong} from '../_test/to-part-document.js';
import {toFleetConfig} from '../_test/to-fleet-config.js';
import {parseConfig} from '../parse-config/index.js';
import {sealConfig} from '../seal-config/index.js';
import {splitConfig} from '../split-config/index.js';
import {toConfigText} from '../to-config-text/index.js';
import {sealParts} from './index.js';

const config = toFleetConfig(24, 9);
const whole = toConfigText(config);

describe('sealParts', () => {
	it('seals any split of a document to the same configuration as the document in one file', () => {
		fc.assert(fc.property(fc.array(fc.boolean(), {minLength: 24, maxLength: 24}), cuts => {
			const {root, parts} = splitConfig(whole, (_, position) => cuts[position]!)._unsafeUnwrap();
			const texts = new Map(parts.map(({name, text}) => [name, text]));
			const sealed = sealParts(root, name => texts.get(name), undefined)._unsafeUnwrap();
			assert.deepStrictEqual(parseConfig(sealed.text, {findPart: findAmong(sealed.parts)})._unsafeUnwrap(), config);
		}), {numRuns: 50});
	});

	const {root, parts} = splitConfig(whole, (_, position) => position % 5 === 0)._unsafeUnwrap();
	const find = (name: string) => parts.find(part => part.name === name)?.text;

	it('counts editions, and gives unchanged parts the same digest', () => {
		const first = sealParts(root, find, undefined)._unsafeUnwrap();
		const edited = (name: string) => name === 'rules-002' ? find(name)!.replace('"r7"', '"renamed"') : find(name);
		const second = sealParts(first.text, edited, first.text)._unsafeUnwrap();
		assert.deepEqual([first.edition, second.edition, second.follows], [1, 2, first.digest]);
		assert.deepEqual(second.parts.filter(({sha256}, i) => sha256 !== first.parts[i]!.sha256).map(({name}) => name), ['rules-002']);
	});

	it('follows a document in one file', () => {
		const previous = sealConfig(whole, undefined)._unsafeUnwrap();
		assert.equal(sealParts(root, find, previous.text)._unsafeUnwrap().follows, previous.digest);
	});

	it('names the file that is missing, cut off or has a fault', () => {
		const cases: Array<[text: string | undefined, file: string | undefined, problem: RegExp]> = [
			[undefined, 'root.json', /the part "rules-002" is not there/],
			[find('rules-002')!.slice(0, -25), 'rules-002.json', /broken|end mark|line|flow/i],
			[find('rules-002')!.replaceAll('"route-1"', '"route-9"'), 'rules-002.json', /there is no route "route-9"/],
		];
		for (const [text, file, problem] of cases) {
			const failure = sealParts(root, name => name === 'rules-002' ? text : find(name), undefined, {file: 'root.json', toPartFile: name => `${name}.json`})._unsafeUnwrapErr();
			assert.equal(failure.faults[0]?.file, file);
			assert.match(failure.faults[0]!.problem, problem);
		}
	});

	it('refuses to follow a document that is not whole', () => {
		assert.equal(sealParts(root, find, 'zones: []')._unsafeUnwrapErr().kind, 'previous-broken');
	});
});
