import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {toDigest} from '../../_lib/to-digest/index.js';
import {toJsonDocument, toYamlDocument} from '../_test/documents.js';
import {checkSeal} from '../check-seal/index.js';
import {parseConfig} from '../parse-config/index.js';
import {sealConfig} from './index.js';

const documents = [['YAML', toYamlDocument()], ['JSON', toJsonDocument()]] as const;

function toSealed(text: string, previous?: string) {
	return sealConfig(text, previous)._unsafeUnwrap();
}

describe('sealConfig', () => {
	for (const [format, plain] of documents) {
		it(`writes a ${format} document with the same content, edition, predecessor and digest`, () => {
			const first = toSealed(plain);
			const second = toSealed(plain, first.text);
			assert.deepEqual([first.edition, first.follows, second.edition, second.follows], [1, undefined, 2, toDigest(first.text)]);
			assert.deepEqual(checkSeal(second.text)._unsafeUnwrap(), {kind: 'sealed', edition: 2, follows: first.digest});
			assert.deepEqual(parseConfig(second.text)._unsafeUnwrap(), parseConfig(plain)._unsafeUnwrap());
		});

		it(`replaces the broken seal of a sealed ${format} document that was edited`, () => {
			const first = toSealed(plain);
			const edited = first.text.replace('10.0.0.1', '10.0.0.9');
			assert.equal(checkSeal(edited)._unsafeUnwrapErr().kind, 'altered');
			assert.equal(toSealed(edited, first.text).text, toSealed(plain.replace('10.0.0.1', '10.0.0.9'), first.text).text);
		});

		it(`detects every truncation of a ${format} document`, () => {
			const {text} = toSealed(plain, plain);
			for (let length = 0; length < text.length; length++) {
				assert.ok(checkSeal(text.slice(0, length)).isErr(), `the first ${length} characters were accepted`);
			}
		});

		it(`detects every single changed byte of a ${format} document`, () => {
			const bytes = Buffer.from(toSealed(plain, plain).text);
			fc.assert(fc.property(fc.nat(bytes.length - 1), fc.integer({min: 1, max: 255}), (position, added) => {
				const changed = Buffer.from(bytes);
				changed[position] = (changed[position]! + added) % 256;
				assert.ok(checkSeal(changed.toString('utf8')).isErr());
			}), {numRuns: 2000});
		});

		it(`detects inserted and deleted characters in a ${format} document`, () => {
			const {text} = toSealed(plain);
			fc.assert(fc.property(fc.nat(text.length), fc.string({minLength: 1, maxLength: 3}), (position, added) => {
				assert.ok(checkSeal(text.slice(0, position) + added + text.slice(position)).isErr());
				assert.ok(checkSeal(text.slice(0, position) + text.slice(position + 1)).isErr() || position >= text.length);
			}), {numRuns: 1000});
		});
	}

	it('replaces an edition written by hand', () => {
		assert.equal(toSealed(toYamlDocument('', 7)).text, toSealed(toYamlDocument()).text);
		assert.equal(toSealed(toYamlDocument(), toYamlDocument('', 7)).edition, 8);
	});

	it('refuses a document with faults, and lists the faults', () => {
		const failure = sealConfig(toYamlDocument().replace('pool: p,', 'pool: q,'), undefined, {file: 'a.yaml'})._unsafeUnwrapErr();
		assert.equal(failure.kind, 'invalid');
		assert.match(failure.faults[0]!.problem, /no pool "q"/);
	});

	it('refuses a truncated document', () => {
		assert.equal(sealConfig(toYamlDocument().slice(0, -3), undefined)._unsafeUnwrapErr().kind, 'invalid');
	});

	it('refuses to follow a document that is not whole', () => {
		const {text} = toSealed(toYamlDocument());
		assert.equal(sealConfig(toYamlDocument(), text.slice(0, -1))._unsafeUnwrapErr().kind, 'previous-broken');
	});
});
