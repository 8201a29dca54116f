import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {toFleetConfig} from '../_test/to-fleet-config.js';
import {toConfigText} from '../to-config-text/index.js';
import {createConfigReader, parseConfig} from './index.js';

const config = toFleetConfig(24, 9);
const sound = toConfigText(config);
const soundLines = sound.split('\n');

/** Lines that an edit may put in: sound ones, rules that hide others, entries with faults, and lines that break the form of the document. */
const strayLines = [
	'{"name":"new","when":{"workspace":["ws-00001"]},"then":"route-1"},',
	'{"name":"new","when":{"workspace":["ws-00001","ws-00002"],"class":"quick"},"then":"route-2"},',
	'{"name":"all quick","when":{"class":"quick"},"then":"route-1"},',
	'{"name":"all","when":{},"then":"route-1"},',
	'{"name":"a","when":{"model":["m"]},"then":"route-1"},{"name":"b","when":{"zone":["a"]},"then":"route-2"},',
	'{"name":"lost","when":{"zone":["b"]},"then":"route-9"},',
	'{"name":"twice","name":"twice","when":{"path":"/x"},"then":"route-1"},',
	'{"name":"[[[[","when":{"headers":{"x":"{{{"}},"then":"route-1"},',
	`{"name":"${'['.repeat(70)}","when":{"path":"/z"},"then":"route-1"},`,
	'{"name":"halved","when":{"path":"/y"},',
	'"then":"route-1"},',
	'{"id":"a-2","zone":"a"},',
	'{"id":"k","zone":"a","url":"http://10.0.0.9:80","role":"decode","pool":"summaries"},',
	'{"id":"k","zone":"a","url":"http://10.0.0.1:80","role":"plain","pool":"summaries"},',
	'"rules": [',
	'],',
	'"hosts": [],',
	'"zones": [{"id":"b","region":"r"}],',
	'"end": "banyanport"}',
	'"edition": 3,',
	'',
	' ',
	'{}',
	'{},',
	`{"name":"deep","when":${'['.repeat(70)}},`,
];

const edits = fc.array(fc.oneof(
	fc.record({kind: fc.constant('insert' as const), at: fc.nat(soundLines.length), line: fc.constantFrom(...strayLines)}),
	fc.record({kind: fc.constant('delete' as const), at: fc.nat(soundLines.length - 1)}),
	fc.record({kind: fc.constant('move' as const), at: fc.nat(soundLines.length - 1), to: fc.nat(soundLines.length - 1)}),
	fc.record({
		kind: fc.constant('replace' as const),
		at: fc.nat(soundLines.length - 1),
		from: fc.constantFrom('ws-', '"quick"', 'route-1', 'route-2', '1000', '},', '"name"', 'summaries', '"a"', '61ms'),
		to: fc.constantFrom('ws-1', '"batch"', 'route-2', 'route-1', '2000', '}', '"nam"', 'desk', '"b"', '62ms', ''),
	}),
), {minLength: 1, maxLength: 4});

type Edit = (typeof edits) extends fc.Arbitrary<Array<infer T>> ? T : never;

function applyEdits(text: string, list: readonly Edit[]): string {
	const lines = text.split('\n');
	for (const edit of list) {
		switch (edit.kind) {
			case 'insert': {
				lines.splice(edit.at, 0, edit.line);
				break;
			}

			case 'delete': {
				lines.splice(edit.at, 1);
				break;
			}

			case 'move': {
				lines.splice(edit.to, 0, ...lines.splice(edit.at, 1));
				break;
			}

			case 'replace': {
				lines[edit.at] = (lines[edit.at] ?? '').replaceAll(edit.from, edit.to);
				break;
			}
		}
	}

	return lines.join('\n');
}

function assertSame(read: ReturnType<typeof createConfigReader>, text: string): void {
	const [next, whole] = [read(text), parseConfig(text)];
	assert.equal(next.isOk(), whole.isOk(), text);
	if (next.isOk() && whole.isOk()) {
		assert.deepStrictEqual(next.value, whole.value);
	} else if (next.isErr() && whole.isErr()) {
		assert.deepStrictEqual(next.error, whole.error);
	}
}

describe('createConfigReader', () => {
	it('reads what parseConfig reads, faults included, after any edits', () => {
		fc.assert(fc.property(fc.array(edits, {minLength: 1, maxLength: 4}), rounds => {
			const read = createConfigReader();
			assertSame(read, sound);
			let text = sound;
			for (const round of rounds) {
				const next = applyEdits(text, round);
				assertSame(read, next);
				text = parseConfig(next).isOk() ? next : text;
			}
		}), {numRuns: 200});
	});

	it('finds the rules that single new or moved rules make dead', () => {
		const rules = soundLines.flatMap((line, i) => line.startsWith('{"name"') && !line.includes('"kind"') ? [i] : []);
		fc.assert(fc.property(fc.constantFrom(...rules), fc.constantFrom(...rules), fc.constantFrom(...strayLines.slice(0, 4)), fc.boolean(), (at, to, line, isMove) => {
			const read = createConfigReader();
			assertSame(read, sound);
			assertSame(read, applyEdits(sound, [isMove ? {kind: 'move', at, to} : {kind: 'insert', at, line}]));
		}), {numRuns: 150});
	});

	const doubles = [
		['a rule\'s name', '"rules": [', '{"name":"r3","when":{"path":"/new/"},"then":"route-1"},'],
		['a server\'s id', '"servers": [', '{"id":"p","zone":"a","url":"http://10.0.0.9:80","role":"decode","pool":"summaries"},'],
		['a server\'s URL', '"servers": [', '{"id":"new","zone":"a","url":"http://10.0.0.1:80","role":"decode","pool":"summaries"},'],
		['a host\'s id', '"hosts": [', '{"id":"a-1","zone":"a"},'],
	] as const;
	for (const [what, header, line] of doubles) {
		it(`refuses a new line that repeats ${what}`, () => {
			const read = createConfigReader();
			assertSame(read, sound);
			const text = sound.replace(header, `${header}\n${line}`);
			assert.ok(read(text).isErr());
			assertSame(read, text);
		});
	}

	it('keeps entries whose lines did not change the same objects, also when another route changes', () => {
		const read = createConfigReader();
		const first = read(sound)._unsafeUnwrap();
		const second = read(sound.replace('"firstToken":"1300ms"', '"firstToken":"1200ms"'))._unsafeUnwrap();
		assert.equal(second.servers[1], first.servers[1]);
		for (const [i, rule] of first.rules.entries()) {
			assert.equal(second.rules[i] === rule, rule.then.class === 'batch', rule.name);
		}
	});
});
