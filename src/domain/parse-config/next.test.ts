import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {anyEdits, applyEdits, strayLines} from '../_test/line-edits.js';
import {toFleetConfig} from '../_test/to-fleet-config.js';
import {toConfigText} from '../to-config-text/index.js';
import {createConfigReader, parseConfig} from './index.js';

const config = toFleetConfig(24, 9);
const validText = toConfigText(config);
const validLines = validText.split('\n');
const edits = anyEdits(validLines.length);

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
	it('returns the same as parseConfig, faults included, after any edits', () => {
		fc.assert(fc.property(fc.array(edits, {minLength: 1, maxLength: 4}), rounds => {
			const read = createConfigReader();
			assertSame(read, validText);
			let text = validText;
			for (const round of rounds) {
				const next = applyEdits(text, round);
				assertSame(read, next);
				text = parseConfig(next).isOk() ? next : text;
			}
		}), {numRuns: 200});
	});

	it('finds the rules that a single new or moved rule makes dead', () => {
		const rules = validLines.flatMap((line, i) => line.startsWith('{"name"') && !line.includes('"kind"') ? [i] : []);
		fc.assert(fc.property(fc.constantFrom(...rules), fc.constantFrom(...rules), fc.constantFrom(...strayLines.slice(0, 4)), fc.boolean(), (at, to, line, isMove) => {
			const read = createConfigReader();
			assertSame(read, validText);
			assertSame(read, applyEdits(validText, [isMove ? {kind: 'move', at, to} : {kind: 'insert', at, line}]));
		}), {numRuns: 150});
	});

	it('finds the rules that a rule makes dead when its conditions are edited in place', () => {
		const at = validLines.findIndex(line => line.includes('"r0"'));
		for (const line of strayLines.slice(2, 4)) {
			const read = createConfigReader();
			assertSame(read, validText);
			const text = validLines.with(at, line).join('\n');
			assert.ok(read(text).isErr());
			assertSame(read, text);
		}
	});

	it('finds a dead rule when a copy with the same condition took its old place', () => {
		const read = createConfigReader();
		assertSame(read, validText);
		const at = validLines.findIndex(line => line.includes('"r3"'));
		const copy = validLines[at]!.replace('"r3"', '"copy of r3"');
		const lines = validLines.toSpliced(at, 0, copy).filter(line => !line.includes('"r9"'));
		assert.equal(lines.length, validLines.length);
		assert.match(read(lines.join('\n'))._unsafeUnwrapErr()[0]!.problem, /"r3" never decides/);
		assertSame(read, lines.join('\n'));
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
			assertSame(read, validText);
			const text = validText.replace(header, `${header}\n${line}`);
			assert.ok(read(text).isErr());
			assertSame(read, text);
		});
	}

	it('keeps unchanged entries the same objects, also when another route changes', () => {
		const read = createConfigReader();
		const first = read(validText)._unsafeUnwrap();
		const second = read(validText.replace('"firstToken":"1300ms"', '"firstToken":"1200ms"'))._unsafeUnwrap();
		assert.equal(second.servers[1], first.servers[1]);
		for (const [i, rule] of first.rules.entries()) {
			assert.equal(second.rules[i] === rule, rule.then.class === 'batch', rule.name);
		}
	});
});
