import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {addPlainEnd} from '../../_lib/split-config-end/index.js';
import {type ConfigPart} from '../../ports/config.js';
import {anyEdits, applyEdits} from '../_test/line-edits.js';
import {toFleetConfig} from '../_test/to-fleet-config.js';
import {
	findAmong, toNamed, toPart, toPartDocument, type Cuts,
} from '../_test/to-part-document.js';
import {toConfigText} from '../to-config-text/index.js';
import {toConfigBody} from '../to-config-body/index.js';
import {
	createConfigReader, parseConfig, readPlainValues, type ConfigFault,
} from './index.js';

const whole = toConfigText(toFleetConfig(24, 9));
const values = readPlainValues(whole) as Record<'hosts' | 'servers' | 'rules', unknown[]> & Record<string, unknown>;

const anyCuts = (rules: number): fc.Arbitrary<Cuts> => fc.integer({min: 1, max: 5}).chain(count => {
	const positions = (most: number) => fc.array(fc.nat(most), {minLength: count, maxLength: count});
	return fc.record({hosts: positions(1), servers: positions(2), rules: positions(rules)});
});

const strays = [
	{name: 'all', when: {}, then: 'route-1'},
	{name: 'r3', when: {path: '/twice/'}, then: 'route-1'},
	{name: 'lost', when: {zone: ['b']}, then: 'route-9'},
	{name: 'a word too much', wen: {}, then: 'route-1'},
	{name: 'sound', when: {path: '/sound/'}, then: 'route-1'},
	7,
];

/** Returns the texts of faults without their places. */
const toProblems = (faults: readonly ConfigFault[]) => faults.map(({problem, remedy}) => `${problem}; ${remedy}`).toSorted();

describe('parseConfig of parts', () => {
	it('reads any split of a document like the document in one file, faults included', () => {
		const anyRules = fc.array(fc.record({at: fc.nat(24), stray: fc.constantFrom(...strays)}), {maxLength: 2})
			.map(list => {
				const rules = [...values.rules];
				for (const {at, stray} of list) {
					rules.splice(at, 0, stray);
				}

				return rules;
			});
		const cases = anyRules.chain(rules => fc.record({rules: fc.constant(rules), cuts: anyCuts(rules.length)}));
		fc.assert(fc.property(cases, ({rules, cuts}) => {
			const edited = {...values, rules};
			const inOne = parseConfig(addPlainEnd(toConfigBody(edited), 'json'));
			const {root, parts} = toPartDocument(edited, cuts);
			const split = parseConfig(root, {findPart: findAmong(parts), isSource: true});
			assert.deepStrictEqual(split.mapErr(toProblems), inOne.mapErr(toProblems));
		}), {numRuns: 200});
	});

	it('returns the same as parseConfig when it reads only the difference, after any edits of root and parts', () => {
		const cuts = {hosts: [1, 1, 1], servers: [0, 1, 2], rules: [7, 15, 22]};
		const start = toPartDocument(values, cuts);
		const edit = fc.record({file: fc.nat(3), edits: anyEdits(18)});
		fc.assert(fc.property(fc.array(edit, {minLength: 1, maxLength: 4}), rounds => {
			const read = createConfigReader();
			let {root, parts} = start;
			const assertSame = (nextRoot: string, nextParts: readonly ConfigPart[]): boolean => {
				const findPart = findAmong(nextParts);
				const [next, full] = [read(nextRoot, findPart), parseConfig(nextRoot, {findPart})];
				assert.deepStrictEqual(next, full);
				return full.isOk();
			};

			assertSame(root, parts);
			for (const {file, edits} of rounds) {
				const nextParts = file === 3 ? parts : parts.with(file, toPart(parts[file]!.name, applyEdits(parts[file]!.text, edits)));
				const named = file === 3 ? applyEdits(root, edits) : root;
				let nextRoot = named;
				for (const [i, part] of toNamed(parts).entries()) {
					nextRoot = nextRoot.replace(JSON.stringify(part), JSON.stringify(toNamed(nextParts)[i]));
				}

				if (assertSame(nextRoot, nextParts)) {
					[root, parts] = [nextRoot, nextParts];
				}
			}
		}), {numRuns: 200});
	});

	const changedParts: Array<[title: string, toText: (text: string) => string]> = [
		['has lost its end', text => text.replace('"end": "banyanport"}\n', '"end": ""}\n')],
		['ends as a sealed document', text => text.replace('"end": "banyanport"', `"edition": 1,\n"follows": "none",\n"end": "sealed-${'a'.repeat(64)}"`)],
		['has a section that only the root may have', text => text.replace('"end"', '"zones": [],\n"end"')],
		['has a section that is not a list', text => text.replace('"hosts": []', '"hosts": {}')],
		['has entries that are not on lines of their own', text => text.replace('"hosts": []', '"hosts": [{"id":"a-9","zone":"nowhere"}]')],
		['nests too deeply within a string', text => text.replace('"r8"', `"${'['.repeat(65)}"`)],
	];
	for (const [title, toText] of changedParts) {
		it(`returns the same as parseConfig when a changed part ${title}`, () => {
			const read = createConfigReader();
			const {root, parts} = toPartDocument(values, {hosts: [0, 0], servers: [0, 2], rules: [7, 15]});
			assert.ok(read(root, findAmong(parts)).isOk());
			const next = [parts[0]!, toPart(parts[1]!.name, toText(parts[1]!.text))];
			assert.notEqual(next[1]!.text, parts[1]!.text);
			const nextRoot = root.replace(JSON.stringify(toNamed(parts)[1]), JSON.stringify(toNamed(next)[1]));
			const found = read(nextRoot, findAmong(next));
			assert.deepStrictEqual(found, parseConfig(nextRoot, {findPart: findAmong(next)}));
			assert.ok(found.isErr());
		});
	}

	it('returns the same as parseConfig when a section is gone from all files', () => {
		const read = createConfigReader();
		const {root, parts} = toPartDocument(values, {hosts: [0, 0], servers: [0, 2], rules: [7, 15]});
		assert.ok(read(root, findAmong(parts)).isOk());
		const next = parts.map(({name, text}) => toPart(name, text.replace('"hosts": [],\n', '')));
		const {hosts, ...rest} = readPlainValues(root)!;
		const nextRoot = addPlainEnd(toConfigBody({...rest, parts: toNamed(next)}), 'json');
		const found = read(nextRoot, findAmong(next));
		assert.deepStrictEqual(found, parseConfig(nextRoot, {findPart: findAmong(next)}));
		assert.match(found._unsafeUnwrapErr()[0]!.problem, /"hosts" is missing/);
	});

	it('keeps all entries except the changed one the same objects', () => {
		const read = createConfigReader();
		const cuts = {hosts: [1, 1], servers: [1, 2], rules: [12, 23]};
		const before = toPartDocument(values, cuts);
		const first = read(before.root, findAmong(before.parts))._unsafeUnwrap();
		const rules = values.rules.with(15, {...values.rules[15] as Record<string, unknown>, name: 'renamed'});
		const after = toPartDocument({...values, rules}, cuts);
		const second = read(after.root, findAmong(after.parts))._unsafeUnwrap();
		assert.deepEqual(second.rules.flatMap((rule, i) => rule === first.rules[i] ? [] : [i]), [15]);
	});

	const [named] = toNamed([toPart('one', 'x')]);
	const badRoots: Array<[title: string, parts: unknown, problem: RegExp]> = [
		['a part without its digest', ['one'], /named without its digest/],
		['a part twice', [named, named], /named twice/],
		['more parts than hosts accept', Array.from({length: 513}, (_, i) => ({...named, name: `p${i}`})), /513 parts/],
		['parts that are too large together', [named, {...named, name: 'two', bytes: 1_000_000}, {...named, name: 'three', bytes: 1_000_000}], /together, and hosts accept at most/],
		['no part in its list', [], /empty/],
		['parts that are not a list', null, /not a list/],
	];
	for (const [title, parts, problem] of badRoots) {
		it(`refuses a root that names ${title}`, () => {
			const root = addPlainEnd(toConfigBody({...values, parts}), 'json');
			const faults = parseConfig(root, {findPart: () => 'x'})._unsafeUnwrapErr();
			assert.match(faults[0]!.problem, problem);
		});
	}

	const badParts: Array<[title: string, text: string, problem: RegExp]> = [
		['has lost its end', '{"rules": []}', /end mark/],
		['is sealed by itself', '{"rules": [],\n"edition": 1,\n"follows": "none",\n"end": "sealed-' + 'a'.repeat(64) + '"}\n', /not a key of a part/],
		['has a section that only the root may have', '{"pools": [],\n"end": "banyanport"}\n', /"pools" is not a key of a part/],
		['has a section that is not a list', '{"rules": {},\n"end": "banyanport"}\n', /not a list/],
		['is not a map', '[]', /./],
		['is YAML', 'rules: []\nend: banyanport\n', /hosts do not read parts in YAML/],
	];
	for (const [title, text, problem] of badParts) {
		it(`refuses a part that ${title}, and names it`, () => {
			const part = toPart('one', text);
			const root = addPlainEnd(toConfigBody({...values, parts: toNamed([part])}), 'json');
			const faults = parseConfig(root, {findPart: findAmong([part])})._unsafeUnwrapErr();
			assert.equal(faults[0]!.file, 'part one');
			assert.match(faults[0]!.problem, problem);
		});
	}

	it('reports a fault with the file, line and column in its part', () => {
		const part = toPart('one', 'rules:\n  - {name: early, when: {path: /early/}, then: route-1}\n  - {name: lost, when: {path: /x/}, then: nowhere}\nend: banyanport\n');
		const root = addPlainEnd(toConfigBody({...values, parts: ['one']}), 'json');
		const [fault] = parseConfig(root, {findPart: () => part.text, isSource: true, toPartFile: name => `folder/${name}.yaml`})._unsafeUnwrapErr();
		assert.deepEqual({file: fault!.file, line: fault!.line, column: fault!.column}, {file: 'folder/one.yaml', line: 3, column: 43});
	});
});
